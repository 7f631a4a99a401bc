Feature: A wave over busy instances is complete in time
  Pattern: maintenance is requested while every instance is busy.

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
