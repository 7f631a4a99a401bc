Feature: A scheduler with too little processor time makes progress
  Each order to an endpoint takes the scheduler a fixed time in these simulations.

  # Guards against an overload that feeds itself: orders that waited for over a second were
  # dropped and issued again, and hardly a task ended, even at full speed afterwards.
  Scenario Outline: The scheduler gets <part> of the time that its orders need
    Given 4 jobs a second, of 24 tasks each, for 24 s
    When the scheduler gets <part> of the time that its orders need, from 5 to 13 s
    Then at least <least> tasks end in each 4 s from 7 s on
    And from 18 s on, tasks end at 0.9 of the rate at which they come, or faster
    And no rule was broken

    Examples:
      | part | least |
      | 0.5  | 150   |
      | 0.1  | 30    |
      | 0.02 | 5     |

  # Guards against urgent work that waits behind the orders for all other work.
  Scenario: An urgent job comes while the scheduler is too slow
    Given 4 jobs a second, of 24 tasks each, for 42 s
    When the scheduler gets 0.1 of the time that its orders need, from 5 to 40 s, and an urgent job is accepted at 13 s
    Then the urgent job is completed within 20 s
    And no rule was broken

  # Guards against a stop order that is given again while it is under way.
  Scenario: Runs are stopped by orders that take a second
    Given a scheduler with 1 endpoints
    And stop orders take 1 seconds
    When job j1 of steps 8x5000 is accepted
    And 1 seconds pass
    And job j1 is cancelled
    And 2 seconds pass
    Then no task is running
    And each of the 8 runs got at most 2 stop orders

  # Guards against tasks that wait while their endpoint counts as faulty, and against stop
  # orders for runs of which no endpoint has been told.
  Scenario: A start order that was never sent is no fault of the endpoint
    Given a scheduler with 1 endpoints
    And start orders are not sent for 2 seconds, since they wait for too long
    When job j1 of steps 8x500 is accepted
    And 4 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no endpoint was ejected and no run was stopped
    And no rule was broken

  # Guards against a queue that grows with each repeat of an order.
  Scenario Outline: An order is queued once
    Given a queue of orders
    When <orders> are issued for a task
    Then the queue has <left>

    Examples:
      | orders                           | left                 |
      | start 1, start 1, start 1        | start 1              |
      | stop 1, stop 1                   | stop 1               |
      | start 1, stop 1                  | stop 1               |
      | stop 1, start 2                  | stop 1, start 2      |
      | stop 1, stop 2                   | stop 1, stop 2       |
      | throttle 1, throttle 1, stop 1   | throttle 1, stop 1   |

  # Guards against orders to one endpoint that hold up all others.
  Scenario: Endpoints get their orders in turn, a few at a time
    Given a queue of orders
    When 100 starts are issued for endpoint e1, and then 2 for endpoint e2
    Then the orders that may be sent go to e1, e2, e1, e2, e1
    When the first of them has been answered
    Then the orders that may be sent go to e1
