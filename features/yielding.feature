Feature: Best-effort tasks yield to jobs that need their memory
  Endpoints of 32,768 MB. Best-effort tasks reserve no processor time; they fill the
  memory of all endpoints.

  # Guards against jobs that wait behind best-effort tasks until those end.
  Scenario: A job in time gets the memory, and the tasks go on from their checkpoints
    Given a scheduler with 2 endpoints
    When 8 filling tasks of 8000 MB and 20 s with checkpoints fill the endpoints
    And a job of 2 tasks of 12000 MB and 1 s is accepted
    And 4 seconds pass
    Then the job met its objective
    And 4 filling tasks were stopped, and each went on from its checkpoint
    And no rule was broken

  # Guards against work that is thrown away again and again in a row of bursts.
  Scenario: No task without checkpoints is stopped twice
    Given a scheduler with 2 endpoints
    When 8 filling tasks of 8000 MB and 20 s without checkpoints fill the endpoints
    And 8 jobs of 2 tasks of 12000 MB and 1 s are accepted, 2 seconds apart
    Then each filling task was stopped at most once, and some were
    And no rule was broken

  # Guards against stopping tasks although the job fits without their memory.
  Scenario: Nothing yields to a job for which there is room
    Given a scheduler with 2 endpoints
    When 4 filling tasks of 8000 MB and 20 s with checkpoints fill the endpoints
    And a job of 2 tasks of 12000 MB and 1 s is accepted
    And 4 seconds pass
    Then the job met its objective
    And 0 filling tasks were stopped, and each went on from its checkpoint

  # Guards against best-effort tasks that wait while no log line says why.
  Scenario: The log names the room that best-effort tasks wait for
    Given a scheduler with 2 endpoints
    When 8 filling tasks of 8000 MB and 20 s with checkpoints fill the endpoints
    And 4 more filling tasks of 8000 MB are accepted
    And 4 seconds pass
    Then the log says that best-effort tasks wait because of no endpoint, with endpoints no room 2

  # Guards against work that fills and never starts in an almost empty pool, because its
  # room is kept for work that waits for something else.
  Scenario Outline: Best-effort tasks start beside work that no room can start
    Given a scheduler with 6 endpoints
    When <waiting> wait in the pool
    And 30 jobs of <filling> are accepted over 6 seconds
    Then all best-effort tasks start within 2 seconds
    And no rule was broken

    Examples:
      | waiting                                          | filling                 |
      | lasting tasks beyond their limit                 | filling tasks           |
      | lasting tasks beyond their limit                 | lasting tasks that fill |
      | spread lasting tasks beyond their limit          | filling tasks           |
      | large lasting tasks beyond their memory limit    | filling tasks           |
      | many single-task jobs beyond their limit         | filling tasks           |
      | tasks in time beyond their limit                 | filling tasks           |
      | a gang beyond its limit                          | filling tasks           |
      | a gang larger than the pool                      | filling tasks           |
      | a lasting gang larger than the pool              | lasting tasks that fill |
      | lasting tasks beyond their most per endpoint     | filling tasks           |
      | lasting tasks that advice keeps off              | filling tasks           |
      | lasting tasks without an answer to their request | filling tasks           |
      | lasting tasks held until a crash is explained    | filling tasks           |

  # Guards against stopping best-effort tasks for work that could not start in their
  # place.
  Scenario Outline: Best-effort tasks don't yield to work that no room can start
    Given a scheduler with 6 endpoints
    When 24 filling tasks of 8000 MB and 20 s with checkpoints fill the endpoints
    And <waiting> wait in the pool
    And 3 seconds pass
    Then 0 filling tasks were stopped, and each went on from its checkpoint
    And no rule was broken

    Examples:
      | waiting                                  |
      | lasting tasks without any share of limit |
      | a gang beyond its limit                  |
      | a gang larger than the pool              |

  # Guards against a limit that is counted anew for each waiting step: what it still
  # admits would make best-effort tasks yield for all of them.
  Scenario: Best-effort tasks yield only to as many tasks as the limit admits
    Given a scheduler with 6 endpoints
    When 24 filling tasks of 8000 MB and 20 s with checkpoints fill the endpoints
    And 10 single-task jobs of 8000 MB arrive, 2 of which the limit admits
    And 25 seconds pass
    Then 2 filling tasks were stopped, and each went on from its checkpoint
    And no rule was broken
