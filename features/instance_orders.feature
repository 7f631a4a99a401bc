Feature: Orders to instances of two schedulers never overlap

  Where the platform does not check fencing tokens, an order of an ended term that
  arrives after one of its successor takes effect.

  # Guards against an order that was given up during a cut and arrives when the cut heals:
  # the kernel went on sending it, although the connection had been closed.
  Scenario Outline: An order that was given up during a cut does not arrive when it heals
    Given a node with an open connection to the service of machines
    When their path is cut and the node orders a move
    And the node is <state> 0.2 s later
    And the path heals 5 s later
    Then the service has not received the order

    Examples:
      | state   |
      | running |
      | frozen  |
      | killed  |

  # Guards against a process that was paused between its decision and the write, and acts
  # on a permission that has run out.
  Scenario Outline: An order is not sent after its permission has expired
    Given a node without a connection to the service of machines
    When the node orders a move within <valid> s and is frozen for <pause> s while it connects
    Then the service has received <count> orders

    Examples:
      | valid | pause | count |
      | 1     | 0.1   | 1     |
      | 1     | 0.9   | 1     |
      | 0.1   | 0.2   | 0     |
      | 0.3   | 0.9   | 0     |
      | 1     | 5     | 0     |

  # Guards against a successor that orders an instance while the last orders of the
  # scheduler before it are still under way: they would take effect after its own.
  Scenario Outline: A successor orders no instance before earlier orders have expired
    Given the platform <checks> fencing tokens
    And a scheduler b whose last heartbeat is 1.3 s old
    When node a claims the next term
    Then a orders no instance before <seconds> s after that heartbeat

    Examples:
      | checks         | seconds |
      | does not check | 2.6     |
      | checks         | 1.8     |

  # Guards against waiting for the orders of a process that has ended: after a restart of
  # all nodes no pool grew for 3 s. Orders of the scheduler before that process may still be
  # under way: its last heartbeat came 0.8 s or more before this process started.
  Scenario: A restarted scheduler waits for the orders of the scheduler before it only
    Given the platform does not check fencing tokens
    And a scheduler a whose last heartbeat is 0.2 s old
    When node a claims the next term
    Then a orders no instance before 2.0 s after that heartbeat

  # Guards against a takeover wait after a release, which follows the last order.
  Scenario: A successor of a released term orders instances after the settling time
    Given the platform does not check fencing tokens
    And a scheduler b whose last heartbeat is 0.2 s old
    When b releases its term
    And node a claims the next term
    Then a orders no instance before 0.5 s after its claim, but then it does

  # Guards against a short takeover wait after the release of a term that was itself
  # shorter than the wait for the one before it.
  Scenario: A term is not released before earlier orders have expired
    Given the platform does not check fencing tokens
    And a scheduler b whose last heartbeat is 1.3 s old
    When node a claims the next term
    And a is stopped gracefully at once
    Then the release is written 2.6 s after that heartbeat, or later

  # Guards against orders of two terms for one instance in the wrong order, under load:
  # a scheduler that can't write goes on for a second, and its orders arrive late.
  Scenario Outline: Orders of a scheduler that can't write come before those of its successor
    Given the platform does not check fencing tokens
    And scheduler a lends instances in turns, with orders that arrive <delay> s late in a cut
    When a can't write to the store and b claims <silence> s after its last heartbeat
    Then no instance gets an order of a after one of b

    Examples:
      | delay | silence |
      | 1.5   | 1.2     |
      | 1.5   | 2.0     |
      | 0.5   | 1.2     |

  # Guards against a node that starts without knowing whether tokens are checked.
  Scenario Outline: Settings must say whether fencing tokens are checked
    Given node settings with bounds <bounds>
    When the settings are loaded
    Then they are refused with a message that names fencing_required and a remedy

    Examples:
      | bounds                     |
      | {}                         |
      | {"fencing_required": 1}    |
      | {"fencing_required": "no"} |
      | {"fencing_required": null} |

  # Guards against tasks that start on an instance which a move then ends: after a lost
  # answer, a repeat of the order that could not be sent counted as if nothing had been
  # ordered.
  Scenario Outline: An order without an answer stays uncertain until one is answered
    Given an idle instance that a scheduler moves to another pool
    When its orders end as <outcomes>
    Then its endpoint <use>

    Examples:
      | outcomes                    | use                |
      | not sent                    | may be used again  |
      | unhealthy                   | may be used again  |
      | busy                        | may be used again  |
      | unknown                     | may not be used    |
      | unknown, not sent           | may not be used    |
      | unknown, unhealthy          | may not be used    |
      | unknown, not sent, not sent | may not be used    |
      | unknown, not sent, busy     | may be used again  |
      | unknown, done               | may not be used    |

  # Guards against an order that is repeated in a tight loop, or without the permission
  # that it needs.
  Scenario: An order without an answer is repeated only while the term is confirmed
    Given an idle instance that a scheduler moves to another pool
    When its orders end as unknown
    Then the order is repeated once within 0.4 s
    And it is not repeated while the store answers no commit for 5 s

  # Guards against an order that a successor does not know: it takes effect while another
  # instance of the wave is down.
  Scenario Outline: A maintenance order is carried out late, after its sender was lost
    Given a scheduler with 4 endpoints
    And the first order to instances is carried out late and not answered
    When a wave over all instances, at most 1 at once, is requested
    And the first order to instances has been sent
    And node a is killed after <seconds> seconds
    And node b takes the term after 1.5 seconds
    And endpoints other than that of this order refuse starts for 1.5 seconds
    And job j1 of 3 lasting tasks with an availability budget of 1 is accepted
    And the first order to instances is carried out when another one has been
    And 40 seconds pass
    Then the wave is completed
    And 3 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | seconds |
      | 0       |
      | 0.5     |
      | 2       |

  # Guards against the same with a move: tasks are placed on an instance that a late order
  # then takes away.
  Scenario Outline: A move is carried out late, after its sender was lost
    Given a scheduler with 4 endpoints that may be switched off
    And the first order to instances is carried out late and not answered
    When the first order to instances has been sent
    And node a is killed after 0.1 seconds
    And node b takes the term after 1.5 seconds
    And job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And <seconds> seconds pass
    And the first order to instances is carried out
    And 10 seconds pass
    Then 4 lasting tasks of j1 are running
    And no run was ended by an order to its instance
    And no rule was broken

    Examples:
      | seconds |
      | 0.3     |
      | 3       |
      | 8       |

  # Guards against orders that a successor could not know, since their intention was not
  # durable when they were sent.
  Scenario: No new order is sent while the store is down
    Given a scheduler with 4 endpoints that may be switched off
    When the store goes down
    And 0.9 seconds pass
    Then no instance got an order
