Feature: Every planned stop is a graceful shutdown
  A planner requests a stop from the platform only after the log shows that no entry can
  send requests to the instance any more.

  # Guards against an instance that counts as up while it still reboots, because the
  # instance list that lags 12 s still shows its former boot.
  Scenario Outline: The instance list lags behind a reboot
    Given a running fleet with budget 4 and seed <seed>
    And the instance list lags <lag> s and a reboot takes <reboot> s
    When the command "drain a11 reboot" is given
    And time passes until the log holds StopRequested of a11
    Then instance a11 is available in pool press within 90 seconds
    And 1 restarts were requested
    And the invariants held at every offset

    Examples:
      | seed | lag | reboot |
      | 1    | 12  | 2      |
      | 2    | 12  | 20     |

  # Guards against a boot that followed a failure, 2 s before the drain, being taken for
  # the boot that ends the planned stop.
  Scenario: An instance restarts by itself just before its stop
    Given a running fleet with budget 4 and seed 3
    And the instance list lags 12 s and a reboot takes 5 s
    When instance a11 restarts by itself
    And 2 seconds pass
    And the command "drain a11 reboot" is given
    Then instance a11 is available in pool press within 200 seconds
    And the invariants held at every offset

  # Guards against a late restart call for an instance that is already available again:
  # the planner calls the platform 60 s after its record.
  Scenario: A planner is delayed between the stop record and the platform call
    Given a running fleet with budget 4 and seed 4
    And process pa calls the platform 60 seconds late
    When the command "drain a11 reboot" is given
    And time passes until the log holds StopRequested of a11
    And 1 seconds pass
    And process pa reads no records for 100 seconds
    Then instance a11 is available in pool press within 50 seconds
    When 60 seconds pass
    Then the invariants held at every offset

  # Guards against a planner that cannot read the log for 100 s and repeats a stop that
  # another planner has already carried out.
  Scenario: A planner that reads no records requests no restart
    Given a running fleet with budget 4 and seed 6
    When the command "drain a11 reboot" is given
    And time passes until the log holds StopRequested of a11
    And the platform is down for process pa
    And 1 seconds pass
    And process pa reads no records for 100 seconds
    Then instance a11 is available in pool press within 50 seconds
    When the platform is up for process pa
    And 40 seconds pass
    Then 1 restarts were requested
    And the invariants held at every offset

  # Guards against a stop of an instance to which an unresponsive entry may still send
  # requests, since it holds units of it until its session is ended.
  Scenario: A stop waits for the units of an unresponsive entry
    Given a running fleet with budget 4 and seed 5
    When units of a11 are held by ea, which stops responding
    And the command "drain a11 reboot" is given
    Then instance a11 is draining after 120 seconds
    When the command "end ea" is given
    Then instance a11 is draining after 20 seconds
    And instance a11 is available in pool press within 60 seconds
    And 1 restarts were requested
    And the invariants held at every offset
