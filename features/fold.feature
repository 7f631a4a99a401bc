Feature: The fold voids records that conflict with the state
  Each scenario covers a rule of the fold that planners and entries rely on.

  # Guards against a planner that was paused while its session was ended, and then acts
  # under its old term.
  Scenario: The lease of an ended session is void
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

  # Guards against a takeover of a lease that a paused planner decided on before the
  # holder renewed the lease.
  Scenario: A takeover is void when the holder has renewed since
    Given a fleet with budget 4
    When the records are folded
      | by  | command         | outcome    |
      | op  | open pa2        | ok         |
      | pa  | lease 1         | ok         |
      | pa2 | lease 2 a 3     | STALE_BASE |
      | pa2 | lease 2 a       | ok         |
      | pa  | lease 1         | STALE_TERM |

  # Guards against stops and moves that go on after a failure has used up the budget
  # while the instance drained.
  Scenario: A drained instance that the budget needs is neither stopped nor moved
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

  # Guards against a stop or move while an entry still holds units of the instance, and
  # against an InstanceUp that repeats the boot from before the stop.
  Scenario: A stop needs all units in the reserve, and a return needs a new boot
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

  # Guards against a state that goes back when a paused process or a truncated log
  # delivers a record again.
  Scenario: An old offset and a repeated record change nothing
    Given a fleet with budget 4
    When the last record is folded again at the same, an earlier and the next offset
    Then all are void and the offset has not decreased

  # Guards against units that are counted twice when an instance or team is removed from
  # the configuration and added again.
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

  # Guards against a table of counts that grows without bound, because counts of removed
  # instances stay in it.
  Scenario: The count of a removed instance is deleted with its last unit
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome |
      | ea | take slots/a11 3 | ok      |
    And the configuration is published without instances a11 and teams red
    And the records are folded
      | by | command          | outcome |
      | ea | give slots/a11 3 | ok      |
    Then there is no count slots/a11

  # Guards against a wave that never ends because one of its instances was removed, and
  # against a wave that starts with no instance allowed in parallel.
  Scenario: A wave ends without an instance that was removed
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

  # Guards against a wave that never ends because its last instance returned while the
  # wave was paused.
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

  # Guards against planners of two data centres that drain two racks of one wave at
  # the same time.
  Scenario: A wave works on one rack at a time
    Given a fleet with budget 2
    When the records are folded
      | by | command                  | outcome    |
      | op | wave w1 2 a11 a12 b11    | ok         |
      | pa | drain a11 reboot wave=w1 | ok         |
      | pb | drain b11 reboot wave=w1 | WAVE_STATE |
      | pa | drain a12 reboot wave=w1 | ok         |

  # Guards against a publication that removes an instance which a budget needs, or a
  # pool that still has instances.
  Scenario: A configuration cannot remove what a budget or an instance needs
    Given a fleet with budget 6
    When the configuration without instances a11 is published with outcome BUDGET
    And the configuration without pools spare is published with outcome INVALID
    Then instance a11 is in pool press

  # Guards against a withdrawn key that works again because a configuration file still
  # lists it, also 401 days later.
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

  # Guards against a reboot that counts as done without a new boot, because the
  # incarnation from before the stop was unknown.
  Scenario: A stop needs a known incarnation
    Given a fleet with budget 4
    When the records are folded
      | by | command          | outcome     |
      | pa | down a11         | ok          |
      | pa | up a11           | ok          |
      | pa | drain a11 reboot | ok          |
      | pa | stop a11         | WRONG_PHASE |

  # Guards against a planner's probe that the endpoint refuses, because the entries
  # use all the connections that it accepts.
  Scenario: Connections of an endpoint are reserved for probes
    Given an endpoint of 64 connections is configured
    Then entries can hold 62 connections of it
