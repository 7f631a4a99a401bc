Feature: Messages and facts of the former incarnation of an endpoint
  An endpoint may be back under its id and address at any time. It knows nothing of its
  former life, and may be of another kind.

  # Guards against a start on an endpoint that is back as another kind: the labels of its
  # former incarnation counted until its report was read.
  Scenario Outline: An endpoint is back as another kind, its report is read <lag> s later
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When job j1 of 2 lasting tasks that require kind a is accepted
    And 2 seconds pass
    And endpoint e1 restarts as kind b, and its report is read <lag> seconds later
    And 4 seconds pass
    Then no rule was broken
    And no task is running
    When endpoint e1 restarts as kind a, and its report is read <lag> seconds later
    And 4 seconds pass
    Then 2 lasting tasks of j1 are running
    And no rule was broken

    Examples: lags
      | lag |
      | 0   |
      | 0.8 |
      | 2   |

  # Guards against the same when the placement is decided before the report is read, and
  # durable after it.
  Scenario Outline: The report of another kind is read while a placement is stored for <store> s
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When job j0 of 2 lasting tasks that require kind a is accepted
    And 2 seconds pass
    And the store takes <store> seconds for an append again
    And endpoint e1 restarts as kind b, and its report is read 1 seconds later
    And job j1 of 2 lasting tasks that require kind a is accepted
    And 6 seconds pass
    Then no rule was broken
    And no task is running

    Examples: appends
      | store |
      | 0.1   |
      | 0.5   |
      | 1.1   |

  # Guards against a start that was decided on when the report named the label, and is sent
  # after a report without it.
  Scenario: The labels of an endpoint change while a placement is stored
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When the store takes 0.5 seconds for an append again
    And 1 seconds pass
    And job j1 of 2 lasting tasks that require kind a is accepted
    And 0.2 seconds pass
    And endpoint e1 reports kind b
    And 3 seconds pass
    Then no rule was broken
    And no task is running

  # Guards against the same for a start order that has waited for its turn.
  Scenario: The labels of an endpoint change while a start order waits for its turn
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When job j1 of 1 lasting tasks that require kind a is accepted
    And its start order waits for its turn while endpoint e1 reports kind b
    Then the order is not sent

  # Guards against starts by a successor that goes by the former incarnation's report.
  Scenario Outline: An endpoint is back as another kind <when> a takeover, its report <lag> s later
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When job j1 of 2 lasting tasks that require kind a is accepted
    And 2 seconds pass
    And node a is killed and node b takes the term, endpoint e1 is back as kind b <after> s after, its report <lag> s later
    And 8 seconds pass
    Then no rule was broken
    And no task is running

    Examples: takeovers
      | when         | after  | lag |
      | right before | -0.1   | 0   |
      | right before | -0.1   | 0.8 |
      | right after  | 0.001  | 0   |
      | right after  | 0.001  | 0.8 |
      | right after  | 0.1    | 0.8 |

  # Guards against starts that a scheduler decided on before it was frozen: it learns only
  # afterwards that the endpoint is back as another kind.
  Scenario Outline: An endpoint is back as another kind, the scheduler was frozen <after> s after a job came
    Given a scheduler with 2 endpoints
    And endpoint e1 is of kind a
    When 2 seconds pass
    And job j1 of 2 lasting tasks that require kind a is accepted
    And node a freezes after <after> seconds
    And endpoint e1 restarts as kind b, and its report is read <lag> seconds later
    And node a resumes after <frozen> seconds
    And 4 seconds pass
    Then no rule was broken
    And no task is running

    Examples: freezes
      | after | lag | frozen |
      | 0.01  | 0.2 | 0.8    |
      | 0.022 | 0.2 | 0.8    |
      | 0.03  | 1.2 | 0.8    |
      | 0.5   | 0.2 | 0.8    |
      | 0.5   | 1.2 | 0.8    |
      | 0.5   | 0.2 | 2.5    |

  # Guards against runs and ends of the first restart that count for the second one, and
  # against the older report, which is read last.
  Scenario Outline: An endpoint restarts twice within <seconds> s
    Given a scheduler with 2 endpoints
    When job j1 of steps 60x150 is accepted
    And 0.4 seconds pass
    And endpoint e1 restarts as kind k, and its report is read <lag> seconds later
    And <seconds> seconds pass
    And endpoint e1 restarts as kind k, and its report is read 0.8 seconds later
    And 8 seconds pass
    Then job j1 is completed
    And no rule was broken

    Examples: restarts
      | seconds | lag  |
      | 0.01    | 0    |
      | 0.1     | 0    |
      | 0.1     | 0.5  |
      | 0.4     | 0.2  |
      | 0.4     | 1.2  |
      | 0.9     | 0    |

  # Guards against the answer of a former incarnation that counts for the next one, whose
  # report or answer was read before it.
  Scenario Outline: Answers to <messages> of a former incarnation arrive <delay> s late
    Given a scheduler with 2 endpoints
    When answers to <messages> arrive <delay> seconds late
    And job j1 of steps 24x400 is accepted
    And job j2 of 4 lasting tasks is accepted
    And <seconds> seconds pass
    And job j2 is cancelled
    And <then> seconds pass
    And every endpoint restarts with the same id
    And every endpoint is reported again
    And 8 seconds pass
    Then job j1 is completed
    And job j2 is cancelled in the ledger
    And no rule was broken

    Examples: delays
      | messages | delay | seconds | then |
      | polls    | 0.25  | 0.3     | 0.05 |
      | polls    | 0.25  | 0.3     | 0.2  |
      | starts   | 0.2   | 0.06    | 0.02 |
      | starts   | 0.2   | 0.3     | 0.05 |
      | stops    | 0.2   | 0.3     | 0.03 |
      | stops    | 0.2   | 0.3     | 0.15 |

  # Guards against a state that an answer changes after the next incarnation has answered.
  Scenario Outline: A <answer> of a former incarnation arrives after an answer of the next
    Given a scheduler with 1 endpoints
    When job j1 of 4 lasting tasks is accepted
    And 1 seconds pass
    And every endpoint restarts with the same id
    And 2 seconds pass
    And a late <answer> of the former incarnation of endpoint e1 arrives
    Then nothing is known otherwise than before of endpoint e1
    When 2 seconds pass
    Then 4 lasting tasks of j1 are running
    And no rule was broken

    Examples: answers
      | answer                           |
      | poll answer                      |
      | positive answer to a start       |
      | refusal of a start as unhealthy  |
      | refusal of a start without order |
      | answer to a stop                 |

  # Guards against an answer to a stop of an earlier run that counts for the present one.
  Scenario: An answer to a stop of a former incarnation arrives while the next run is being stopped
    Given a scheduler with 1 endpoints
    When job j1 of 4 lasting tasks is accepted
    And 1 seconds pass
    And every endpoint restarts with the same id
    And 2 seconds pass
    And job j1 is cancelled
    And a late answer to a stop of the former incarnation of endpoint e1 arrives
    Then nothing is known otherwise than before of endpoint e1
    When 2 seconds pass
    Then job j1 is cancelled in the ledger
    And no rule was broken

  # Guards against an order to an instance that ends the tasks of an endpoint: its restart
  # had cleared the reason for which it got none.
  Scenario Outline: <order> of an instance has no answer, then <event>
    Given a scheduler with 4 endpoints that may be switched off
    And the first order to instances is carried out late and not answered
    When <request>
    And the first order to instances has been sent
    And <event>
    And job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 0.9 seconds pass
    And the first order to instances is carried out
    And 10 seconds pass
    Then no run was ended by an order to its instance
    And no rule was broken

    Examples: events
      | order       | request                                                    | event                                                                         |
      | a move      | 1 seconds pass                                             | 0 seconds pass                                                                |
      | a move      | 1 seconds pass                                             | the endpoint of this order restarts, and its report is read 0 seconds later   |
      | a move      | 1 seconds pass                                             | the endpoint of this order restarts, and its report is read 0.8 seconds later |
      | maintenance | a wave over all instances, at most 1 at once, is requested | 0 seconds pass                                                                |
      | maintenance | a wave over all instances, at most 1 at once, is requested | the endpoint of this order restarts, and its report is read 0 seconds later   |
      | maintenance | a wave over all instances, at most 1 at once, is requested | the endpoint of this order restarts, and its report is read 0.8 seconds later |

  # Guards against an endpoint without tasks because its former incarnation failed them.
  Scenario: An endpoint that was ejected for failures restarts
    Given a scheduler with 1 endpoints
    And endpoint e1 fails its runs
    When job j1 of steps 3x500 is accepted
    And 1 seconds pass
    And endpoint e1 restarts in good order
    And job j2 of steps 8x300 is accepted
    And 1.5 seconds pass
    Then job j2 is completed
    And no rule was broken

  # Guards against capacity that stays reserved for runs that ended with their endpoint.
  Scenario: An endpoint restarts while capacity is reserved for runs that are being stopped
    Given a scheduler with 1 endpoints
    When job j1 of steps 8x3000 is accepted
    And 0.5 seconds pass
    And capacity of endpoint e1 is reserved for the runs of j1 as if they were stopping
    And endpoint e1 restarts in good order
    And 2 seconds pass
    Then the capacity reserved on endpoint e1 is that of its tasks
    And no rule was broken

  # Guards against an endpoint that counts as slow because its former incarnation was: the
  # successor had read the report of that one and no answer yet.
  Scenario: A slow endpoint restarts right after a takeover
    Given a scheduler with 3 endpoints
    When the record of slow endpoints names e1
    And node a is killed and node b takes the term, endpoint e1 is back as kind k 0.001 s after, its report 0 s later
    And 1 seconds pass
    Then endpoint e1 does not count as slow

  # Guards against a ticket of a former life that keeps a task from starting.
  Scenario Outline: Endpoints restart <seconds> s after advice on them was requested
    Given a scheduler with 6 endpoints
    And queue q requires placement advice
    When job j1 of steps 12x300 is accepted
    And <seconds> seconds pass
    And every endpoint restarts with the same id
    And every endpoint is reported again
    And 6 seconds pass
    Then job j1 is completed
    And only advised endpoints have had runs
    And no rule was broken

    Examples: times
      | seconds |
      | 0.03    |
      | 0.06    |
      | 0.08    |
      | 0.2     |

  # Guards against an order that another endpoint takes, which listens at the address of
  # the one that it was meant for.
  Scenario Outline: An order to <kind> a run is sent to an address that another endpoint has taken over
    Given an endpoint that expects calls to its id
    When an order to <kind> a run is sent to the endpoint
    And another endpoint takes its address over
    And an order to <kind> a run is sent to the endpoint
    Then 1 orders have reached the endpoint, all of the incarnation meant
    And the outcome of the last order is OTHER_INCARNATION

    Examples: kinds
      | kind     |
      | start    |
      | stop     |
      | throttle |

  # Guards against an order for the second incarnation that the third one takes.
  Scenario: An order is sent to an endpoint that restarts twice
    Given an endpoint that has answered a poll
    When the endpoint restarts
    And an order to start a run is sent to the endpoint
    And the endpoint restarts
    And an order to start a run is sent to the endpoint
    Then 0 orders have reached the endpoint, all of the incarnation meant
    And the outcome of the last order is OTHER_INCARNATION

  # Guards against an order over another connection than the one that has been identified:
  # an endpoint that closes each connection after an answer gets none.
  Scenario: An order is sent to an endpoint that closes its connections
    Given an endpoint that closes its connection after each answer
    When an order to start a run is sent to the endpoint
    Then 0 orders have reached the endpoint, all of the incarnation meant
    And the outcome of the last order is REFUSED
