Feature: Spare instances are few, and used first
  Guards the bounds that the measures of buffer and moves are compared with.

  # Guards against plans with more moves than needed.
  Scenario: Plans of moves against an exhaustive search
    When 300 random demands of up to 3 pools and 7 donors are planned with seed 1
    Then each plan meets its demand where that is possible
    And the plans need at most 0 % more moves than the fewest

  # Guards against a buffer that is smaller or larger than the least that survives.
  Scenario: The least number of spare instances against an exhaustive search
    When 200 random fleets lose spare instances one by one with seed 2
    Then a fleet survives exactly while it has the needed spares outside every rack

  # Guards against a pool that stays below its budget while spare instances idle.
  Scenario: A spare instance replaces a failed one
    Given a running fleet with budget 6 and seed 3
    When instance a11 fails
    And 180 seconds pass
    Then 6 instances of pool press are available
    And the invariants held at every offset

  # Guards against spare instances that move for each short failure.
  Scenario: A short failure moves nothing
    Given a running fleet with budget 6 and seed 4
    When instance a11 restarts by itself
    And 120 seconds pass
    Then 3 instances of pool spare are available

  # Guards against a dry run that starts something or hides what is in the way.
  Scenario: A dry run says what a wave would do and why not
    Given a fleet with budget 5
    When a wave over a11 a12 b11 x99 with 2 in parallel is tried
    Then the steps are
      | instance | kind             | why                                         |
      | a11      | would be stopped now |                                         |
      | a12      | would wait       | service press needs 5, 4 would be left      |
      | b11      | would wait       | rack a/r1 is in work                        |
      | x99      | would wait       | no such instance                            |
