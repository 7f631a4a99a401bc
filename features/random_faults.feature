Feature: Lasting tasks run again after any faults

  # Guards against lasting tasks that wait for ever although there is room: endpoints that
  # had refused starts got one task at a time until one succeeded, and lasting tasks
  # never end.
  Scenario Outline: Endpoints that have failed take several lasting tasks again
    Given a scheduler with 2 endpoints
    And every endpoint <fault>
    When job j1 of 12 lasting tasks is accepted
    And 5 seconds pass
    And every endpoint works again
    And 7 seconds pass
    Then 12 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | fault          |
      | refuses starts |
      | fails its runs |

  # Guards against runs that stay stopping for ever: their start was not answered and then
  # refused, and the repeated stop orders put off the proof that they do not exist.
  Scenario: Starts are refused after orders that were not answered
    Given a scheduler with 2 endpoints
    When every endpoint is cut off for 0.4 seconds and refuses starts for 2 seconds
    And job j1 of 8 lasting tasks is accepted
    And 9 seconds pass
    Then 8 lasting tasks of j1 are running
    And no rule was broken

  # Guards against starts on an endpoint that has been draining for seconds, because the
  # placement took as long to become durable.
  Scenario: An endpoint drains while a placement is not durable
    Given a scheduler with 3 endpoints
    When job j1 of 1 lasting tasks is accepted
    And 2 seconds pass
    And the store goes down
    And job j2 of 8 lasting tasks is accepted
    And 0.1 seconds pass
    And the endpoint of task 0 of j1 drains
    And 2.5 seconds pass
    And the store comes back
    And 7 seconds pass
    Then 8 lasting tasks of j2 are running
    And no rule was broken

  # Guards against endpoints that get no tasks for as long as tasks run on them that make
  # no progress anywhere.
  Scenario: Tasks that never end do not block their endpoints
    Given a scheduler with 1 endpoints
    When job j1 of steps 2x200 that takes 1000000 times as long is accepted
    And job j2 of steps 2x200 that takes 1000000 times as long is accepted
    And 20 seconds pass
    And job j3 of 4 lasting tasks is accepted
    And 7 seconds pass
    Then 4 lasting tasks of j3 are running
    And no rule was broken

  # Guards against a pool that keeps all its endpoints, since it was taken to need those
  # that it has.
  Scenario: Idle endpoints beyond the need of their pool are switched off
    Given a scheduler with 4 endpoints
    And a spare pool
    When 5 seconds pass
    Then 2 instances are in the spare pool

  # Guards against endpoints that get no tasks for good, because the move of their instance
  # was confirmed and not carried out.
  Scenario: Confirmed moves are not carried out
    Given a scheduler with 4 endpoints
    And a spare pool
    And moves of instances that are confirmed and not carried out
    When 10 seconds pass
    And job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 7 seconds pass
    Then 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against lasting tasks that wait although there is room for them, in the order
  # in which a day's faults happen to overlap.
  Scenario Outline: Random faults that overlap
    Given random faults of seeds <first> to <last>
    When all faults of each seed have ended
    Then each lasting task runs where there is room for it
    And no seed broke a rule

    Examples:
      | first | last |
      | 0     | 15   |
      | 93    | 93   |
      | 205   | 205  |
      | 217   | 217  |

  # Guards against the same on days with entries by other writers, and with endpoints that
  # restart with their time of day set back.
  Scenario: Random faults that overlap, with faults of the endpoints' entries
    Given random faults of seeds 0 to 7
    And 5 faults of the endpoints' entries
    When all faults of each seed have ended
    Then each lasting task runs where there is room for it
    And no seed broke a rule

  # Guards against a run that is started twice after its start order was under way when the
  # endpoint restarted, and the endpoint was silent afterwards.
  Scenario: An endpoint restarts while a start order is under way, and is silent
    Given random faults of seeds 88 to 88
    And 5 faults of the endpoints' entries
    When all faults of each seed have ended
    Then no seed broke a rule

  # Guards against two tasks of a step on one endpoint, against its limit: each was lost in
  # two supposed crashes, and they start together.
  Scenario: Lasting tasks on separate endpoints start again after crashes
    Given random faults of seeds 38 to 38
    When all faults of each seed have ended
    Then no seed broke a rule

  # Guards against a task that is started again, because the endpoint restarted while an
  # acknowledgement of ends was under way.
  Scenario: An endpoint restarts while an acknowledgement is under way
    Given random faults of seeds 192 to 192
    And 5 faults of the endpoints' entries
    When all faults of each seed have ended
    Then no seed broke a rule

  # Guards against starts in an evacuated data centre, and against lasting tasks that wait
  # for ever after one, in the order in which evacuations and faults happen to overlap.
  Scenario: Random faults that overlap, with evacuations of data centres
    Given random faults of seeds 0 to 11
    And 4 evacuations of data centres
    When all faults of each seed have ended
    Then each lasting task runs where there is room for it
    And no seed broke a rule
