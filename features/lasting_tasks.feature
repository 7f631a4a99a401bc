Feature: Lasting tasks run while there is room, and the log says why they wait
  Endpoints have 16 cores and serve queue q; node a holds the term. A task has 2 cores.

  # Guards against a lasting task that does not run while no log line says why.
  Scenario Outline: The log names what keeps lasting tasks waiting
    Given a scheduler with 4 endpoints
    When job j1 of <first> lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 1 seconds pass
    And <event>
    And <seconds> seconds pass
    Then the log says that lasting tasks wait because of <obstacle>, with endpoints <reasons>

    Examples:
      | first | event                                  | seconds | obstacle    | reasons                           |
      | 5     | 0 seconds pass                         | 4       | no endpoint | most per endpoint 4               |
      | 4     | job j2 of 40 lasting tasks is accepted | 4       | no endpoint | no room 4                         |
      | 4     | the endpoint of task 0 of j1 drains    | 4       | no endpoint | draining 1, most per endpoint 3   |
      | 4     | the endpoint of task 0 of j1 is cut off | 9       | no endpoint | unreachable 1, most per endpoint 3 |

  # Guards against a log line that blames the endpoints for a workspace's upper limit.
  Scenario: The log names an upper limit that keeps lasting tasks waiting
    Given a scheduler with 4 endpoints
    And workspace w has an upper limit of 4000 millicores
    When job j1 of 3 lasting tasks is accepted
    And 4 seconds pass
    Then the log says that lasting tasks wait because of upper limit, with endpoints usable 4

  # Guards against a log line that does not tell missing advice from missing room.
  Scenario: The log names missing advice that keeps lasting tasks waiting
    Given a scheduler with 2 endpoints
    And queue q requires placement advice
    When job j1 of 12 lasting tasks is accepted
    And 5 seconds pass
    Then the log says that lasting tasks wait because of advice, with endpoints no room 1, usable 1

  # Guards against a log that is filled with the waits of lasting tasks.
  Scenario: Waits of lasting tasks are logged every 2 s, for ten steps at most
    Given a scheduler with 2 endpoints
    When 20 jobs of 9 lasting tasks are accepted
    And 2 seconds pass
    Then 0 lines on waits of lasting tasks were logged
    When 8 seconds pass
    Then 40 lines on waits of lasting tasks were logged

  # Guards against a step that waits for its own restriction, at most one task on an
  # endpoint, and keeps all steps with the same needs from the room that there is.
  Scenario: A step with too many tasks on separate endpoints does not hold up others
    Given a scheduler with 4 endpoints
    When job j1 of 5 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 1 seconds pass
    And job j2 of 4 lasting tasks is accepted
    And 3 seconds pass
    Then 4 lasting tasks of j1 are running
    And 4 lasting tasks of j2 are running
    And no rule was broken

  # Guards against a step that waits for advice, and keeps steps of queues without
  # advice from the endpoints that it must not use.
  Scenario: A step that waits for advice does not hold up others
    Given a scheduler with 2 endpoints
    And queue q requires placement advice
    And queue p of the same pool requires none
    When job j1 of 12 lasting tasks is accepted
    And 2 seconds pass
    And job j2 of 4 lasting tasks is accepted in queue p
    And 0.5 seconds pass
    Then 8 lasting tasks of j1 are running
    And 4 lasting tasks of j2 are running

  # Guards against ranking a full pool again for each of the steps that wait for it.
  Scenario: A full pool is known to be full after the first step that waits for it
    Given a scheduler with 2 endpoints
    When 20 jobs of 9 lasting tasks are accepted
    And 4 seconds pass
    Then the log says that lasting tasks wait because of pool full, with endpoints no room 2

  # Guards against an endpoint that stays on probation for good, with one task, since only
  # runs that end count as a success and a lasting one never ends.
  Scenario Outline: Endpoints that have recovered take all lasting tasks
    Given a scheduler with 3 endpoints
    And every endpoint <fault>
    When job j1 of 12 lasting tasks is accepted
    And 6 seconds pass
    And every endpoint <recovery>
    And 12 seconds pass
    Then 12 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | fault                   | recovery             |
      | fails its runs          | runs its tasks again |
      | refuses starts at first | accepts starts again |

  # Guards against a fault score that outlives the process which it was about.
  Scenario: An endpoint that restarts is not on probation
    Given a scheduler with 1 endpoints
    And every endpoint fails its runs
    When job j1 of 6 lasting tasks is accepted
    And 4 seconds pass
    And every endpoint runs its tasks again
    And every endpoint is replaced by a process with the same id
    And 3 seconds pass
    Then 6 lasting tasks of j1 are running

  # Guards against an endpoint that fails its runs and gets lasting tasks one after the
  # other, as its fault score falls while they start.
  Scenario: An endpoint that fails all its runs gets few lasting tasks
    Given a scheduler with 4 endpoints
    And endpoint e1 fails its runs
    When job j1 of 12 lasting tasks is accepted
    And 30 seconds pass
    Then 12 lasting tasks of j1 are running
    And endpoint e1 started at most 10 runs

  # Guards against lasting tasks from before that vouch for an endpoint which fails every
  # run that it starts.
  Scenario: An endpoint with lasting tasks that fails all new runs gets few of them
    Given a scheduler with 4 endpoints
    When job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 3 seconds pass
    And endpoint e1 begins to fail its runs
    And 100 jobs of steps 6x500 are accepted over 10 seconds
    And 10 seconds pass
    Then 4 lasting tasks of j1 are running
    And endpoint e1 started at most 13 runs

  # Guards against endpoints that stay evacuated for good. The platform answers a
  # maintenance order with success, without another restart, if an earlier one has been
  # carried out; its answer was lost with the scheduler that sent it.
  Scenario: Endpoints are used again whose maintenance had been carried out before
    Given a scheduler with 4 endpoints
    And the platform maintains each instance once in a wave
    When a wave over all instances, at most 2 at once, is requested
    And node a is killed as soon as the first maintenance has begun
    And node b takes the term after 1 seconds
    And 20 seconds pass
    Then the wave is completed
    When job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 6 seconds pass
    Then 4 lasting tasks of j1 are running
    And every instance was maintained once
    And no rule was broken

  # Guards against starts that are refused again and again for a ticket of an endpoint's
  # earlier life, until that ticket expires.
  Scenario: An endpoint that restarts gets new tickets
    Given a scheduler with 2 endpoints
    And queue q requires placement advice that is valid for 60 seconds
    When job j1 of 4 lasting tasks is accepted
    And 2 seconds pass
    And the endpoint of task 0 of j1 restarts with the same id
    And 3 seconds pass
    Then 4 lasting tasks of j1 are running
    And at most 12 runs were started or refused

  # Guards against a task that remains in its stop for good. Its start was lost, the
  # repeated one was refused, and there is no run whose end the endpoint could list.
  Scenario: A task whose start was lost and then refused starts on another endpoint
    Given a scheduler with 3 endpoints
    And endpoint e1 does not answer starts
    When job j1 of 6 lasting tasks is accepted
    And 0.1 seconds pass
    And endpoint e1 refuses starts
    And 6 seconds pass
    Then 6 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a task that is never started, as its endpoint answers polls and not
  # the orders to start it.
  Scenario: A task whose start remains unanswered starts on another endpoint
    Given a scheduler with 3 endpoints
    And endpoint e1 does not answer starts
    When job j1 of 6 lasting tasks is accepted
    And 8 seconds pass
    Then 6 lasting tasks of j1 are running
    And no rule was broken
