Feature: Endpoints that restart under the same id
  An endpoint may restart under the id that it had. It knows nothing of its earlier runs,
  and orders that were sent before the scheduler knew of the restart reach it all the
  same.

  # Guards against a run that is started twice: its start order reached the new
  # incarnation of its endpoint before the scheduler knew of it.
  Scenario: A start order is answered by an endpoint that has restarted
    Given a scheduler with 4 endpoints
    When every endpoint restarts with the same id
    And job j1 of steps 8x1000 is accepted
    And 6 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against the same, when the scheduler can't know whether the order arrived.
  Scenario: Start orders to endpoints that have restarted are not answered
    Given a scheduler with 4 endpoints
    And 0.7 of the responses to orders are lost and 0 of orders are carried out late
    When every endpoint restarts with the same id
    And job j1 of steps 8x1000 is accepted
    And 6 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a task that is started again though it is done: the restarted endpoint
  # discarded its end, as polls acknowledged the ends of the earlier incarnation.
  Scenario: A run ends on a restarted endpoint before its restart is noticed
    Given a scheduler with 1 endpoints
    When job j1 of steps 8x300 is accepted
    And 2 seconds pass
    And every endpoint restarts with the same id
    And responses of endpoint e1 are lost for 1 seconds, 0.02 seconds from now
    And job j2 of steps 8x200 is accepted
    And 8 seconds pass
    Then all jobs are completed
    And 16 runs were started
    And no rule was broken

  # Guards against a run that is started elsewhere while it goes on: a poll from before the
  # restart has extended its lease by the clock of the earlier incarnation.
  Scenario Outline: An endpoint that has restarted is cut off
    Given a scheduler with 2 endpoints
    When job j1 of 8 lasting tasks is accepted
    And <seconds> seconds pass
    And every endpoint restarts with the same id, cut off from the store
    And 0.8 seconds pass
    And the endpoint of task 0 of j1 is cut off for 8 seconds
    And 12 seconds pass
    Then 8 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | seconds |
      | 1       |
      | 5       |
      | 60      |

  # Guards against the same with real connections: an acknowledgement that is repeated
  # over another connection reaches the next incarnation.
  Scenario Outline: Ends are acknowledged to an endpoint that <restarts>
    Given an endpoint that has answered a poll
    When the endpoint <restarts>
    And a poll acknowledges end 7 over the connection of that answer
    And a poll acknowledges end 7 over the connection of that answer
    Then the endpoint gets the acknowledged ends <received>

    Examples:
      | restarts                            | received |
      | goes on                             | 7, 7     |
      | restarts                            | 0, 0     |
      | restarts, and the old one is silent | 0        |

  # Guards against a lease that a new incarnation counts from its own clock: the poll that
  # extends it reached that one over another connection.
  Scenario Outline: Leases of an endpoint that <restarts> are extended
    Given an endpoint that has answered a poll
    When the endpoint <restarts>
    And a poll extends the leases over the connection of that answer
    Then the endpoint gets the lease ends <leases>

    Examples:
      | restarts | leases |
      | goes on  | 9000   |
      | restarts | 0      |

  # Guards against an order that a new incarnation takes although it was meant for the
  # earlier one, which listened at the same address under the same id.
  Scenario Outline: An order to <kind> a run at an endpoint that <restarts>
    Given an endpoint that has answered a poll
    When an order to <kind> a run is sent to the endpoint
    And the endpoint <restarts>
    And an order to <kind> a run is sent to the endpoint
    Then <count> orders have reached the endpoint, all of the incarnation meant
    And the outcome of the last order is <outcome>

    Examples:
      | kind     | restarts                            | count | outcome           |
      | start    | goes on                             | 2     | DONE              |
      | start    | restarts                            | 1     | OTHER_INCARNATION |
      | start    | restarts, and the old one is silent | 1     | UNKNOWN           |
      | stop     | goes on                             | 2     | DONE              |
      | stop     | restarts                            | 1     | OTHER_INCARNATION |
      | throttle | restarts                            | 1     | OTHER_INCARNATION |

  # Guards against a start order to an endpoint that has fallen silent since the placement
  # was decided: a new incarnation runs the task for longer than the scheduler assumes.
  Scenario: An endpoint restarts in silence while a placement is not durable
    Given a scheduler with 3 endpoints
    When job j0 of 3 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 10 seconds pass
    And the store goes down
    And job j1 of 8 lasting tasks is accepted
    And 0.1 seconds pass
    And every endpoint restarts with the same id
    And responses of endpoint e1 are lost for 12 seconds, 0 seconds from now
    And 1.5 seconds pass
    And the store comes back
    And 9 seconds pass
    Then 8 lasting tasks of j1 are running
    And no rule was broken

  # Guards against the same by a successor, which knows from the ledger that the run was
  # placed on the earlier incarnation.
  Scenario: The scheduler is replaced after a start on a restarted endpoint
    Given a scheduler with 4 endpoints
    And 1 of the responses to orders are lost and 0 of orders are carried out late
    When every endpoint restarts with the same id
    And job j1 of steps 8x3000 is accepted
    And node a freezes after 0.1 seconds
    And node b takes the term after 1.2 seconds
    And 8 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against a run that is started elsewhere while it goes on: the restarted endpoint
  # counted its lease from the clock of its earlier incarnation, and the scheduler that
  # knew of it was killed.
  Scenario Outline: The scheduler is killed <seconds> s after starts on restarted endpoints
    Given a scheduler with 4 endpoints
    And the clock of every endpoint runs 2 % slow
    When 20 seconds pass
    And every endpoint restarts with the same id
    And job j1 of steps 8x20000 is accepted
    And node a is killed after <seconds> seconds
    And the endpoint of task 0 of j1 is cut off for 9 seconds
    And node b takes the term of an ended process after 0.9 seconds
    And 20 seconds pass
    Then no rule was broken

    Examples: delays
      | seconds |
      | 0.08    |
      | 0.3     |
      | 0.6     |
      | 1.5     |

  # Guards against the same without a takeover: the scheduler has not learned of the
  # restart when the endpoint is cut off.
  Scenario: A restarted endpoint takes a start and is cut off before it is polled
    Given a scheduler with 4 endpoints
    And the clock of every endpoint runs 2 % slow
    When 20 seconds pass
    And every endpoint restarts with the same id
    And job j1 of steps 8x20000 is accepted
    And 0.08 seconds pass
    And the endpoint of task 0 of j1 is cut off for 9 seconds
    And 20 seconds pass
    Then no rule was broken

  # Guards against an endpoint whose answers are all ignored, because an entry by another
  # writer gave it a start that it never had: its tasks were started twice, or it was lost
  # for good and polled without a pause.
  Scenario Outline: An entry by another writer gives an endpoint a later start
    Given a scheduler with 2 endpoints
    When job j1 of 8 lasting tasks is accepted
    And 2 seconds pass
    And an entry by another writer gives endpoint e1 a later start for <seconds> seconds
    And <seconds> seconds pass
    Then 8 runs were started
    And 8 lasting tasks of j1 are running
    When endpoint e2 crashes
    And 7 seconds pass
    Then 8 lasting tasks of j1 are running
    And endpoint e1 was polled at most 150 times
    And no rule was broken

    Examples:
      | seconds |
      | 0.1     |
      | 3       |

  # Guards against an endpoint whose answers are all ignored after a restart, because its
  # time of day was set back meanwhile.
  Scenario: An endpoint restarts with its time of day set back
    Given a scheduler with 1 endpoints
    When job j1 of 8 lasting tasks is accepted
    And 2 seconds pass
    And endpoint e1 restarts with its time of day set back by 60 seconds
    And 7 seconds pass
    Then 8 lasting tasks of j1 are running
    And no rule was broken

  # Guards against starts on a draining endpoint, whose entry was ignored as older than
  # its start as known from the polls.
  Scenario: An endpoint drains after a restart with its time of day set back
    Given a scheduler with 2 endpoints
    When job j1 of 8 lasting tasks is accepted
    And 2 seconds pass
    And endpoint e1 restarts with its time of day set back by 60 seconds and drains
    And 3 seconds pass
    And job j2 of 4 lasting tasks is accepted
    And 4 seconds pass
    Then no rule was broken

  # Guards against an endpoint that is out of use for good, since it was polled at its
  # earlier address only.
  Scenario: An endpoint restarts at another address
    Given a scheduler with 2 endpoints
    When endpoint e1 restarts after 3 seconds at address e1:2
    And 3 seconds pass
    And job j1 of 2 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 3 seconds pass
    Then 2 lasting tasks of j1 are running
    And no rule was broken

  # Guards against an endpoint that counts as gone, because the entry that came back is
  # older than its newest restart.
  Scenario: The entry that comes back is that of an earlier incarnation
    Given a scheduler with 1 endpoints
    When job j1 of 4 lasting tasks is accepted
    And 2 seconds pass
    And endpoint e1 restarts and its older entry is removed for 1 seconds
    And 7 seconds pass
    And job j2 of 4 lasting tasks is accepted
    And 3 seconds pass
    Then 4 lasting tasks of j1 are running
    And 4 lasting tasks of j2 are running
    And no rule was broken

  # Guards against maintenance of an instance whose tasks have not been moved away: another
  # endpoint had lived there before its endpoint restarted, and counted as the newest.
  Scenario: An endpoint restarts after another one has lived on its instance
    Given a scheduler with 2 endpoints
    When another endpoint lives on the instance of endpoint e1, which then restarts
    And job j1 of 4 lasting tasks with an availability budget of 1 is accepted
    And 2 seconds pass
    And a wave over all instances, at most 1 at once, is requested
    And 40 seconds pass
    Then the wave is completed
    And 4 lasting tasks of j1 are running
    And no rule was broken
