Feature: The spare pool is as small as possible and replaces failed instances
  These scenarios check the bounds that the benchmarks of buffer and moves compare with.

  # Guards against plans with more moves than needed, by comparison with the minimum
  # that an exhaustive search finds.
  Scenario: Move plans are compared with an exhaustive search
    When 300 random demands of up to 3 pools and 7 donors are planned with seed 1
    Then each plan meets its demand where that is possible
    And the plans need at most 0 % more moves than the minimum

  # Guards against a capacity buffer that is smaller or larger than the minimum that
  # survives the loss of any rack, by removing each rack in turn.
  Scenario: The minimum capacity buffer is compared with an exhaustive search
    When 200 random fleets with failed instances are built with seed 2
    Then a fleet survives exactly if it has the needed spares outside every rack

  # Guards against a pool that stays below its budget while spare instances are idle.
  Scenario: A spare instance replaces a failed one
    Given a running fleet with budget 6 and seed 3
    When instance a11 fails
    And 180 seconds pass
    Then 6 instances of pool press are available
    And the invariants held at every offset

  # Guards against a spare instance that is moved for each short failure, such as a
  # restart of 1 s.
  Scenario: A short failure causes no move
    Given a running fleet with budget 6 and seed 4
    When instance a11 restarts by itself
    And 120 seconds pass
    Then 3 instances of pool spare are available

  # Guards against a dry run that changes the state or does not report what blocks a
  # step.
  Scenario: A dry run reports each step of a wave and what blocks it
    Given a fleet with budget 5
    When a wave over a11 a12 b11 x99 with 2 in parallel is dry-run
    Then the steps are
      | instance | kind             | why                                         |
      | a11      | would be stopped now |                                         |
      | a12      | would wait       | service press needs 5, 4 would be left      |
      | b11      | would wait       | rack a/r1 is in work                        |
      | x99      | would wait       | no such instance                            |
