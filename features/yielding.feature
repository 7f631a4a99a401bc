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
