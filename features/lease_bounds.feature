Feature: Whoever starts a run elsewhere has waited until the lease of the first has ended
  Each scenario generates cases from a fixed seed and puts at their largest: clocks that run
  2 % slow, readings of a clock that are up to 10 s old, orders and polls without an answer
  that are carried out 2 to 12 s late, delayed answers, endpoints that restart under their
  id, schedulers that are suspended, and takeovers. The true end of a lease is taken from
  the endpoint's own clock. docs/properties.md has the arithmetic.

  # Guards against a run that is started elsewhere while a lease of the first one lasts, for
  # each scheduler that may decide so.
  Scenario Outline: No run is started elsewhere before its lease has ended, <who waits>
    Given 40 generated cases in which an endpoint <falls silent>
    When <who waits> waits for the leases
    Then no run was lost before the lease of its endpoint had ended
    And at least <count> leases were waited for

    Examples: an endpoint that only falls silent
      | falls silent | who waits                                    | count |
      | falls silent | the scheduler itself                         | 30    |
      | falls silent | a successor of a released term               | 30    |
      | falls silent | a successor of an ended process              | 30    |
      | falls silent | a successor of a scheduler without the store | 30    |
      | falls silent | a successor of a suspended scheduler         | 30    |
      | falls silent | a successor of a chain                       | 30    |

    Examples: an endpoint that has restarted under its id before
      | falls silent                | who waits                                    | count |
      | restarts, which is known    | the scheduler itself                         | 15    |
      | restarts, which isn't known | the scheduler itself                         | 8     |
      | restarts, which isn't known | a successor of an ended process              | 8     |
      | restarts, which is known    | a successor of a scheduler without the store | 15    |
      | restarts, which isn't known | a successor of a suspended scheduler         | 8     |

  # Guards against a claim that the store carries out seconds late, after its process has
  # ended: the next process of the node takes the scheduler before it for ended, too.
  Scenario: A claim of an ended process is carried out beside a scheduler that still acts
    Given 40 generated cases in which an endpoint falls silent
    When a successor of a late claim waits for the leases
    Then no run was lost before the lease of its endpoint had ended
    And at least 30 leases were waited for

  # Guards against a lease on the clock of an earlier incarnation, from a call that arrives
  # before the scheduler learns of the restart: it lasts up to 6.12 s.
  Scenario: Late calls arrive before the scheduler learns of a restart
    Given 40 generated cases in which an endpoint falls silent
    And late orders and polls are carried out by a later incarnation as well
    When late calls arrive after a restart that the scheduler learns of then
    Then no run was lost before the lease of its endpoint had ended
    And at least 20 leases were waited for

  # Guards against orders and polls without an answer that the next incarnation of their
  # endpoint carries out: their leases end on the clock of the earlier one.
  Scenario Outline: Late calls reach an endpoint that <restarts>
    Given 40 generated cases in which an endpoint <restarts>
    And late orders and polls are carried out by a later incarnation as well
    When <who waits> waits for the leases
    Then no run was lost before the lease of its endpoint had ended

    Examples: incarnations
      | restarts                    | who waits                       |
      | restarts, which is known    | the scheduler itself            |
      | restarts, which isn't known | a successor of an ended process |
