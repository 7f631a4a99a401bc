Feature: The fold rejects records that no longer fit
  Each scenario guards a rule of the fold that planners and entries rely on.

  # Guards against a frozen planner whose session has ended acting under its old term.
  Scenario: The lease of an ended session covers nothing
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome       |
      | op | end pa           | ok            |
      | pa | drain a11 reboot | SESSION_STATE |
      | pa | lease 1          | SESSION_STATE |

  # Guards against a planner of one data centre stopping instances of another.
  Scenario: A lease covers only its own data centre
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome       |
      | pa | drain b11 reboot | STALE_TERM    |
      | pa | up b11 boot9     | STALE_TERM    |
      | pa | lease 2 b        | SESSION_STATE |
      | ea | lease 2          | SESSION_STATE |
      | pa | down b11         | ok            |

  # Guards against a takeover that a paused planner decided before the last renewal.
  Scenario: A takeover is void when the holder has renewed since
    Given a fleet with budget 4
    When the records are folded
      | by  | command         | outcome    |
      | op  | open pa2        | ok         |
      | pa  | lease 1         | ok         |
      | pa2 | lease 2 a 3     | STALE_BASE |
      | pa2 | lease 2 a       | ok         |
      | pa  | lease 1         | STALE_TERM |

  # Guards against stops that go on after failures have used the budget up.
  Scenario: A drained instance that has become needed is not taken away
    Given a fleet with budget 5
    When the records are folded
      | by | command                   | outcome |
      | pa | drain a11 reboot          | ok      |
      | pb | down b11                  | ok      |
      | pa | stop a11                  | BUDGET  |
      | pa | cancel a11                | ok      |
      | pb | up b11 boot2              | ok      |
      | op | drain a11 move to_pool=still | ok   |
      | pb | down b11                  | ok      |
      | pa | moved a11                 | BUDGET  |

  # Guards against stops, moves and returns that nothing has proved.
  Scenario: A stop needs a whole reserve and a return needs a new boot
    Given a fleet with budget 2
    When the records are folded
      | by | command                      | outcome     |
      | ea | take slots/a11 1             | ok          |
      | ea | take conns/a12 1             | ok          |
      | pa | stop a11                     | NOT_DRAINED |
      | pa | drain a11 reboot             | ok          |
      | op | drain a11 reboot             | WRONG_PHASE |
      | op | drain a12 move to_pool=still | ok          |
      | pa | stop a11                     | NOT_DRAINED |
      | pa | moved a12                    | NOT_DRAINED |
      | ea | take slots/a11 1             | ok          |
      | ea | give slots/a11 1             | ok          |
      | ea | give conns/a12 1             | ok          |
      | pa | stop a12                     | WRONG_PHASE |
      | pa | stop a11                     | ok          |
      | pa | moved a11                    | WRONG_PHASE |
      | pa | moved a12                    | ok          |
      | pa | up a11 boot1                 | WRONG_PHASE |
      | pa | up a11 boot2                 | ok          |

  # Guards against a paused reader or a truncated log that sets the state back.
  Scenario: An old offset and a repeated record change nothing
    Given a fleet with budget 4
    When the last record is read again at the same and at a later offset
    Then both are void and the offset has not fallen

  # Guards against units that exist twice when a name leaves and comes back.
  Scenario: An instance that is removed and added again keeps its units
    Given a fleet with budget 4
    When the records are folded
      | by | command           | outcome |
      | ea | take slots/a11 3  | ok      |
      | ea | take limit/red 5  | ok      |
    And the configuration is published without instances a11 and teams red
    And the configuration is published in full
    Then session ea holds 3 of 4 units of slots/a11
    And session ea holds 5 of 9 units of limit/red

  # Guards against an unbounded table of the counts of past names.
  Scenario: The count of a removed instance goes with its last unit
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome |
      | ea | take slots/a11 3 | ok      |
    And the configuration is published without instances a11 and teams red
    And the records are folded
      | by | command          | outcome |
      | ea | give slots/a11 3 | ok      |
    Then there is no count slots/a11

  # Guards against a wave that never ends, or starts with a step that cannot be done.
  Scenario: A wave goes on without a removed instance
    Given a fleet with budget 4
    When the records are folded
      | by | command              | outcome    |
      | op | wave w0 0 a11        | INVALID    |
      | op | wave w1 2 a11 a11 bs | ok         |
      | pb | drain bs reboot wave=w1 | ok      |
      | pb | stop bs              | ok         |
      | pb | up bs boot2          | ok         |
    And the configuration is published without instances a11 and teams red
    Then wave w1 is done

  # Guards against a wave that is done while it is paused and never ends.
  Scenario: A wave whose last instance returned while it was paused ends on resume
    Given a fleet with budget 4
    When the records are folded
      | by | command                  | outcome |
      | op | wave w1 2 a11            | ok      |
      | pa | drain a11 reboot wave=w1 | ok      |
      | op | pause w1                 | ok      |
      | pa | stop a11                 | ok      |
      | pa | up a11 boot2             | ok      |
      | op | resume w1                | ok      |
    Then wave w1 is done

  # Guards against planners of two data centres stopping two racks of one wave.
  Scenario: A wave works on one rack at a time
    Given a fleet with budget 2
    When the records are folded
      | by | command                  | outcome    |
      | op | wave w1 2 a11 a12 b11    | ok         |
      | pa | drain a11 reboot wave=w1 | ok         |
      | pb | drain b11 reboot wave=w1 | WAVE_STATE |
      | pa | drain a12 reboot wave=w1 | ok         |

  # Guards against an instance that no pool or budget knows after a publication.
  Scenario: A configuration cannot remove what a budget or a pool needs
    Given a fleet with budget 6
    When the configuration without instances a11 is published with outcome BUDGET
    And the configuration without pools spare is published with outcome INVALID
    Then instance a11 is in pool press

  # Guards against a withdrawn key that works again since a file still lists it.
  Scenario: A withdrawn key in a configuration file stays withdrawn
    Given a fleet with budget 4
    When the records are folded
      | by | command     | outcome   |
      | op | withdraw k1 | ok        |
      | op | key red k1  | WITHDRAWN |
      | op | key red k2  | ok        |
      | op | key red k2  | INVALID   |
    And the configuration is published in full
    Then key k1 is not valid and key k2 is valid
    When key k3 is withdrawn 401 days later
    Then key k1 is not valid and key k2 is valid

  # Guards against a reboot that counts as done without any new boot.
  Scenario: A stop needs a known incarnation
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome     |
      | pa | down a11         | ok          |
      | pa | up a11           | ok          |
      | pa | drain a11 reboot | ok          |
      | pa | stop a11         | WRONG_PHASE |

  # Guards against a planner's probe that is one connection more than the endpoint
  # accepts while the entries hold all of them.
  Scenario: Connections of an endpoint are kept for probes
    Given an endpoint of 64 connections is configured
    Then entries can hold 62 connections of it
