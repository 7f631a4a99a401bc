Feature: A task that crashes the endpoints that start it is given up
  Endpoints have 16 cores and serve queue q; node a holds the term. A deadly task crashes
  its endpoint 10 ms after each start. Crashed endpoints restart on the same
  instance. A third start of it after three endpoints have crashed under it
  is a violation named budget.

  # Guards against starting a deadly task on every endpoint of its pool in turn, and
  # against giving up the tasks that ran beside it.
  Scenario Outline: A deadly task among sound ones is given up, and no other is
    Given a scheduler with 6 endpoints and seed <seed>
    And crashed endpoints restart after <down> seconds with <id>
    And tasks 3 of bad are deadly
    When 12 jobs of steps 8x1000 are accepted over 3 seconds
    And job bad of steps 8x1000 is accepted
    And 24 jobs of steps 8x1000 are accepted over 10 seconds
    And 40 seconds pass
    Then job bad is failed
    And all other jobs are completed
    And no rule was broken

    Examples:
      | seed | down | id        |
      | 1    | 3    | a new id  |
      | 2    | 3    | the same id |
      | 3    | 1    | the same id |
      | 4    | 6    | a new id  |
      | 5    | 6    | the same id |

  # Guards against a lasting task, which has no limit of attempts, that crashes endpoint
  # after endpoint, and against giving up the lasting tasks that it met there.
  Scenario: A deadly lasting task is given up, and sound ones continue
    Given a scheduler with 6 endpoints
    And crashed endpoints restart after 3 seconds with a new id
    And tasks 2 of bad are deadly
    When job j1 of 5 lasting tasks is accepted
    And 1 seconds pass
    And job bad of 5 lasting tasks is accepted
    And 40 seconds pass
    Then job bad is failed
    And 5 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a lasting task that waits for good, as the endpoint that is kept for its
  # start alone already has as many tasks of its step as it may have.
  Scenario: A task that starts alone is given an endpoint that may run it
    Given a scheduler with 3 endpoints
    When job j1 of 3 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 2 seconds pass
    And endpoint e9 joins with 3 lasting tasks of its own
    And the endpoint of task 0 of j1 is lost, and two endpoints have crashed under the task
    And 10 seconds pass
    Then 3 lasting tasks of j1 are running

  # Guards against sound lasting tasks that wait for each other for many seconds, after
  # two crashes shortly after their starts.
  Scenario: Sound lasting tasks of a job start together after two crashes
    Given a scheduler with 8 endpoints
    When job j1 of 12 lasting tasks is accepted
    And the endpoints of j1 crash twice, 0.3 s after all of its tasks have started
    And 7 seconds pass
    Then 12 lasting tasks of j1 are running

  # Guards against counting the crashes of one deadly task for another one of its job.
  Scenario: Two deadly tasks of one job cause few crashes
    Given a scheduler with 6 endpoints
    And crashed endpoints restart after 3 seconds with a new id
    And tasks 1, 4 of bad are deadly
    When job bad of steps 6x1000 is accepted
    And 10 jobs of steps 4x1000 are accepted over 5 seconds
    And 40 seconds pass
    Then job bad is failed
    And all other jobs are completed
    And no rule was broken

  # Guards against deadly jobs that empty their pool because all are tried at once.
  Scenario: Several deadly jobs never take most endpoints at a time after the first crash
    Given a scheduler with 8 endpoints
    And crashed endpoints restart after 3 seconds with a new id
    And tasks 0 of b1 are deadly
    And tasks 0 of b2 are deadly
    And tasks 0 of b3 are deadly
    When job b1 of steps 4x1000 is accepted
    And job b2 of steps 4x1000 is accepted
    And job b3 of steps 4x1000 is accepted
    And 20 jobs of steps 4x1000 are accepted over 20 seconds
    And 40 seconds pass
    Then job b1 is failed
    And job b2 is failed
    And job b3 is failed
    And at least 4 endpoints were up all the time
    And all other jobs are completed
    And no rule was broken

  # Guards against a start of a deadly task that its caller allows to run several times at
  # once before it is known that the earlier endpoints have crashed.
  Scenario: Duplicates of a deadly task don't crash further endpoints
    Given a scheduler with 6 endpoints
    And crashed endpoints restart after 3 seconds with a new id
    And tasks 0 of bad are deadly
    When job bad of steps 4x1000 that allows duplicate runs is accepted
    And 40 seconds pass
    Then job bad is failed
    And no rule was broken

  # Guards against a successor that doesn't know how many endpoints have crashed.
  Scenario Outline: A deadly task is given up although the scheduler dies after crash <crash>
    Given a scheduler with 6 endpoints and seed <seed>
    And crashed endpoints restart after <down> seconds with <id>
    And tasks 3 of bad are deadly
    When job bad of steps 8x1000 is accepted
    And node a is killed <after> seconds after crash <crash>
    And node b takes the term after 1.5 seconds
    And 12 jobs of steps 4x1000 are accepted over 6 seconds
    And 60 seconds pass
    Then job bad is failed
    And all other jobs are completed
    And no rule was broken

    Examples:
      | crash | after | down | id          | seed |
      | 1     | 0.0   | 3    | a new id    | 1    |
      | 2     | 0.0   | 3    | a new id    | 2    |
      | 3     | 0.0   | 3    | a new id    | 3    |
      | 1     | 3.5   | 3    | the same id | 4    |
      | 2     | 0.0   | 3    | the same id | 5    |
      | 2     | 4.1   | 3    | the same id | 6    |
      | 3     | 0.0   | 6    | the same id | 7    |
      | 3     | 3.0   | 3    | the same id | 8    |

  # Guards against a count that is lost when each scheduler dies right after a crash.
  Scenario: A deadly task is given up although every scheduler dies after a crash
    Given a scheduler with 6 endpoints
    And crashed endpoints restart after 3 seconds with a new id
    And tasks 3 of bad are deadly
    When job bad of steps 8x1000 is accepted
    And node a is killed 0.0 seconds after crash 1
    And node b takes the term after 1.5 seconds
    And node b is killed 0.0 seconds after crash 2
    And node c takes the term after 1.5 seconds
    And node c is killed 0.0 seconds after crash 3
    And node d takes the term after 1.5 seconds
    And 60 seconds pass
    Then job bad is failed
    And no rule was broken

  # Guards against giving up sound tasks whose endpoints crash for other reasons.
  Scenario Outline: No sound job fails while endpoints crash at random
    Given a scheduler with 8 endpoints and seed <seed>
    And crashed endpoints restart after 3 seconds with <id>
    When job j1 of 5 lasting tasks is accepted
    And <share> of the endpoints crash every <every> seconds for 20 seconds
    And 40 jobs of steps 6x1000 are accepted over 20 seconds
    And 30 seconds pass
    Then all other jobs are completed
    And 5 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | seed | share | every | id          |
      | 1    | 0.15  | 4     | a new id    |
      | 2    | 0.15  | 2     | the same id |
      | 3    | 0.15  | 1     | a new id    |
      | 4    | 0.5   | 5     | the same id |
      | 5    | 1.0   | 4     | a new id    |
      | 6    | 1.0   | 5     | the same id |

  # Guards against giving up the tasks of a rack that is lost as a whole.
  Scenario: No sound job fails because racks are lost
    Given a scheduler with 8 endpoints
    And crashed endpoints restart after 6 seconds with a new id
    When job j1 of 5 lasting tasks is accepted
    And rack r0 crashes 3 seconds from now
    And rack r1 crashes 12 seconds from now
    And 40 jobs of steps 6x1000 are accepted over 20 seconds
    And 30 seconds pass
    Then all other jobs are completed
    And 5 lasting tasks of j1 are running
    And no rule was broken

  # Guards against putting the crashes of one unstable endpoint down to its tasks.
  Scenario: No sound job fails because one endpoint crashes every second
    Given a scheduler with 4 endpoints
    And crashed endpoints restart after 0.5 seconds with the same id
    When endpoint e1 crashes every 1 seconds for 25 seconds
    And job j1 of 4 lasting tasks is accepted
    And 30 jobs of steps 8x1000 are accepted over 20 seconds
    And 20 seconds pass
    Then all other jobs are completed
    And 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against putting a power loss of all endpoints, schedulers included, down to
  # the tasks that they ran.
  Scenario: No sound job fails or waits because everything loses power several times
    Given a scheduler with 6 endpoints
    And crashed endpoints restart after 2 seconds with the same id
    When 10 jobs of steps 6x1500 are accepted over 2 seconds
    And every endpoint crashes and node b takes over from node a
    And 4 seconds pass
    And every endpoint crashes and node c takes over from node b
    And 4 seconds pass
    And every endpoint crashes and node d takes over from node c
    And 12 seconds pass
    Then all other jobs are completed
    And no crash was counted
    And no rule was broken

  # Guards against counting an endpoint that was cut off, and is back, as crashed.
  Scenario: An endpoint that answers again has not crashed
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x9000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is cut off for 6.5 seconds
    And 25 seconds pass
    Then job j1 is completed
    And no crash was counted
    And no rule was broken

  # Guards against failing a job for a task that has succeeded, as a duplicate or a member of
  # a gang, and whose earlier endpoints turn out later to have crashed.
  Scenario: A task that is done is not given up
    Given a scheduler with 4 endpoints
    When job j1 of steps 1x500 then 1x3000 is accepted
    And 1.5 seconds pass
    And 3 crashes are proved under task 0 of j1, which is done
    And 5 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a record of the runs that an earlier version of the program can't read,
  # or that it has written.
  Scenario: Records of tasks with and without crashes are read by either version
    When a record of a task with 2 crashes is written
    Then the layout without crashes reads it
    And a record in the layout without crashes is read with 0 crashes
