Feature: A scheduler of hundreds of endpoints answers while it plans
  Pattern: a term begins in a burst. 240 jobs with some 2,100 tasks have waited for a
  scheduler, and all of 540 endpoints answer. A pass that plans everything at once keeps
  the process from sending heartbeats and reading answers.

  # Guards against a takeover after which nothing starts for 0.7 s, while polls of
  # endpoints that answer time out.
  Scenario: A planning pass is cut short, and the next one follows at the next tick
    Given 540 empty endpoints and 240 jobs that have waited for a scheduler
    When the next planning pass is due
    Then at most 300 tasks were placed by one pass
    When 0.5 s of ticks have passed
    Then all tasks are placed that fit

  # Guards against tasks that are placed before more urgent ones because the pass that
  # would have placed them was cut short.
  Scenario: A pass that is cut short places the most urgent tasks
    Given 540 empty endpoints and 240 jobs that have waited for a scheduler
    When the next planning pass is due
    Then no placed step ranks behind one that waits and fits

  # Guards against ranking all endpoints of a pool again for each task of a step.
  Scenario: The endpoints of a pool are ranked once for each step
    Given 540 empty endpoints and 240 jobs that have waited for a scheduler
    When 0.5 s of ticks have passed
    Then each endpoint was ranked at most once for each step that does not last

  # Guards against a choice that differs from the best endpoint for each single task.
  Scenario Outline: Ranking endpoints once gives the same choice as for each task
    Given 60 endpoints with random load and faults, seed <seed>
    Then each of 400 random tasks goes to the endpoint with the lowest cost

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a step that shall stay in one rack, and is spread over racks once
  # its first endpoint is full.
  Scenario: The tasks of a step stay in one rack while it has capacity
    Given 60 endpoints with random load and faults, seed 4
    When a job of 30 tasks of 4 cores that shall stay in one rack is accepted
    And the next planning pass is due
    Then its tasks are placed on more than one endpoint, in 2 racks

  # Guards against a scheduler that falls behind unnoticed, and against a delay that is
  # reported for the time in which another node scheduled.
  Scenario: The largest delay of a tick is kept for 10 s
    Given ticks at 1.00, 1.02, 1.44, 1.46 s
    Then the largest delay is 0.40 s at 2 s, and 0 s at 12 s
    When the node does not schedule until 5 s, and ticks at 5.00, 5.03 s
    Then the largest delay is 0.01 s at 11.5 s, and 0 s at 16 s
