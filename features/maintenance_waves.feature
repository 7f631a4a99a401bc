Feature: A wave leaves as many instances in service as its due time allows
  Pattern: maintenance is requested while every instance is busy.

  # Guards against a wave that takes twice as many busy instances out of service as it
  # needs to: those that are down were not counted beside those that are drained.
  Scenario Outline: Instances that are drained or down
    Given <busy> busy instances, a quarter of them not in the wave
    When maintenance of the others is requested within <due> s, at most <most> at once
    Then at most <out> instances are drained or down at any time
    And all of them have been maintained 8 s before the due time

    # Draining and maintenance are estimated at 8 s for an instance, and the wave is to be
    # complete 10 s before it is due. One more may be joining its pool again.
    Examples:
      | busy | due | most | out |
      | 16   | 29  | 6    | 7   |
      | 32   | 29  | 8    | 12  |
      | 32   | 53  | 8    | 6   |

  # Guards against a wave whose last instances are left for its last seconds, so that one
  # more time without a scheduler makes it late.
  Scenario Outline: Nobody schedules for 6 s while a wave is under way
    Given <busy> busy instances, a quarter of them not in the wave
    And <jobs> jobs of 12 lasting tasks, of which one may be unavailable at a time
    When maintenance of the others is requested within 26 s, at most <most> at once
    And nobody schedules from <before> s before the due time for 6 s
    Then all of them have been maintained 8 s before the due time

    Examples:
      | busy | jobs | most | before |
      | 48   | 10   | 12   | 15     |
      | 64   | 12   | 20   | 16     |
