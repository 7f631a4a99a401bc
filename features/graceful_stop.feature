Feature: Every planned stop is a graceful shutdown
  The platform is asked for a stop only after the log shows that nothing can be sent
  to the instance any more.

  # Guards against an instance that counts as up while it still reboots.
  Scenario Outline: The list lags behind a reboot
    Given a running fleet with budget 4 and seed <seed>
    And the list lags <lag> s and a reboot takes <reboot> s
    When the command "drain a11 reboot" is given
    And time passes until StopRequested of a11
    Then instance a11 is available in pool press within 90 seconds
    And 1 restarts were asked for
    And the invariants held at every offset

    Examples:
      | seed | lag | reboot |
      | 1    | 12  | 2      |
      | 2    | 12  | 20     |

  # Guards against the boot of a failure just before a stop being taken for its end.
  Scenario: An instance restarts by itself just before its stop
    Given a running fleet with budget 4 and seed 3
    And the list lags 12 s and a reboot takes 5 s
    When instance a11 restarts by itself
    And 2 seconds pass
    And the command "drain a11 reboot" is given
    Then instance a11 is available in pool press within 200 seconds
    And the invariants held at every offset

  # Guards against a late call of the platform for an instance that is back in work.
  Scenario: A planner is paused between the record and the platform
    Given a running fleet with budget 4 and seed 4
    And process pa calls the platform 60 seconds late
    When the command "drain a11 reboot" is given
    And time passes until StopRequested of a11
    And 1 seconds pass
    And process pa reads no records for 100 seconds
    Then instance a11 is available in pool press within 50 seconds
    When 60 seconds pass
    Then the invariants held at every offset

  # Guards against a planner that has lost the log and repeats a stop already done.
  Scenario: A planner that reads no records asks the platform for nothing
    Given a running fleet with budget 4 and seed 6
    When the command "drain a11 reboot" is given
    And time passes until StopRequested of a11
    And the platform is down for process pa
    And 1 seconds pass
    And process pa reads no records for 100 seconds
    Then instance a11 is available in pool press within 50 seconds
    When the platform is up for process pa
    And 40 seconds pass
    Then 1 restarts were asked for
    And the invariants held at every offset

  # Guards against stopping an instance that a lost entry may still send to.
  Scenario: A stop waits for the units of a lost entry
    Given a running fleet with budget 4 and seed 5
    When a process that is lost, ea, holds units of a11
    And the command "drain a11 reboot" is given
    Then instance a11 is draining after 120 seconds
    When the command "end ea" is given
    Then instance a11 is draining after 20 seconds
    And instance a11 is available in pool press within 60 seconds
    And 1 restarts were asked for
    And the invariants held at every offset
