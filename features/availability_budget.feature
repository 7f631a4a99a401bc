Feature: Each service's availability budget holds
  An instance that is not proved available counts as unavailable.

  # Guards against a wave that ends with its planner.
  Scenario: A planner is lost during a wave
    Given a running fleet with budget 4 and seed 1
    When the command "wave w1 2 a11 a12 b11 b12 c11 c12" is given
    And time passes until DrainStarted of b11
    And process pb is lost
    And process pb1 is paused for 5 seconds
    Then wave w1 is done within 300 seconds
    And the invariants held at every offset

  # Guards against a frozen planner that acts under its old lease when it wakes.
  Scenario: A planner is paused during a wave
    Given a running fleet with budget 4 and seed 2
    When the command "wave w1 2 a11 a12 b11 b12" is given
    And time passes until StopRequested of a11
    And process pa is paused for 25 seconds
    And process pa1 is paused for 40 seconds
    Then wave w1 is done within 300 seconds
    And the invariants held at every offset

  # Guards against a wave that goes on into the next rack while a rack is lost.
  Scenario: A rack is lost during a wave
    Given a running fleet with budget 4 and seed 3
    When the command "wave w1 1 a11 a12 b11 b12 c11 c12" is given
    And time passes until InstanceUp of a11
    And rack r1 of data centre a fails
    Then wave w1 is paused within 60 seconds
    When 60 seconds pass
    Then 0 stops followed the failure
    And the invariants held at every offset

  # Guards against planned stops that count the instances of a lost data centre.
  Scenario: A data centre without planners counts as unavailable
    Given a running fleet with budget 4 and seed 4
    When data centre c is cut off
    And 60 seconds pass
    And the command "drain a11 reboot" is void as BUDGET
    And data centre c is connected again
    Then the fleet is whole again within 60 seconds
    When the command "drain a11 reboot" is given
    Then instance a11 is available in pool press within 60 seconds
    And the invariants held at every offset

  # Guards against a stop that goes on after failures have used the budget up.
  Scenario: A drain is given up when the instance is needed
    Given a running fleet with budget 5 and seed 5
    When a process that is lost, eb, holds units of b11
    And the command "drain b11 reboot" is given
    And instance c11 fails
    Then instance b11 is available in pool press within 60 seconds
    And 0 restarts were asked for
    And the invariants held at every offset

  # Guards against any interleaving of readers, appends, faults and commands in which
  # a budget is overdrawn by a planned stop, units are lost, or a fold differs.
  Scenario Outline: Random interleavings of planners and entries
    Given a running fleet with budget 4 and seed <seed>
    When 60 random faults and commands follow over 600 seconds
    Then the fleet is whole again within 400 seconds
    And the invariants held at every offset

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
