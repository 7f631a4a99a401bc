Feature: A wave leaves as many instances in service as its due time allows
  Pattern: maintenance is requested while every instance is busy.

  # Guards against a wave that takes twice as many busy instances out of service as it
  # needs to: those that are down were not counted beside those that are drained.
  Scenario Outline: Instances that are drained or down
    Given <busy> busy instances, a quarter of them not in the wave
    When maintenance of the others is requested within <due> s, at most <most> at once
    Then at most <out> instances are drained or down at any time
    And all of them have been maintained 3 s before the due time

    # Draining and maintenance are estimated at 8 s for an instance, and the wave is to be
    # complete 5 s before it is due. One more may be joining its pool again.
    Examples:
      | busy | due | most | out |
      | 16   | 29  | 6    | 5   |
      | 32   | 29  | 8    | 9   |
      | 32   | 53  | 8    | 5   |
