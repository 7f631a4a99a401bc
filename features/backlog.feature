Feature: Jobs that can't be served in time are rejected at once with a Retry-After
  Four endpoints of 16 cores, none of which can be lent to another pool. The result of a
  job is worthless to its caller after three times the job's latency objective.

  # Guards against rejecting jobs while there is capacity.
  Scenario: No wait is published while jobs can start
    Given a scheduler with 4 endpoints
    When 4 jobs of steps 4x1000 are accepted over 2 seconds
    Then no wait is published

  # Guards against callers that wait for a result that can't come in time, and against a
  # pool that is reported as full for good.
  Scenario: A wait is published while the load exceeds the capacity of all instances
    Given a scheduler with 4 endpoints
    When 40 jobs of steps 16x3000 are accepted over 2 seconds
    And 0.5 seconds pass
    Then a wait of 55 to 65 seconds is published
    When 70 seconds pass
    Then no wait is published

  # Guards against a Retry-After that is too early, and against rejecting a job for
  # which there is still time.
  Scenario Outline: The Retry-After of a job follows from the published wait
    Given a job of one step of <chain> ms, with an objective of 2 times that plus 600 ms
    When the wait is <wait> ms
    Then its Retry-After is <after> seconds

    Examples:
      | chain | wait  | after |
      | 1000  | 0     | 0     |
      | 1000  | 6800  | 0     |
      | 1000  | 6801  | 1     |
      | 1000  | 12300 | 6     |
      | 0     | 1800  | 0     |

  # Guards against rejecting a job that another node has already accepted.
  Scenario: A job that has been accepted is never rejected
    Given a job intake and a store
    And another node has stored job j1
    And the scheduler publishes a wait of 60 seconds
    When job j1 is submitted with a deadline in 2 seconds
    Then the reply is accepted

  Scenario: A job that can't be served in time is rejected and not stored
    Given a job intake and a store
    And the scheduler publishes a wait of 60 seconds
    When job j1 is submitted with a deadline in 2 seconds
    Then it is rejected with a Retry-After of 60 seconds

  # Guards against rejecting jobs because of a wait that a scheduler published long ago.
  Scenario: An outdated wait rejects nothing
    Given a job intake and a store
    And the scheduler published a wait of 60 seconds 3 seconds ago
    When job j1 is submitted with a deadline in 2 seconds
    Then the reply is accepted

  # Guards against a caller that can't tell from a refusal whether its job may still run.
  Scenario: A refusal names the limit, that nothing has run, and when to return
    Given a job intake and a store
    And the scheduler publishes a wait of 60 seconds
    When a job with a payload of 10 bytes is submitted over HTTP
    Then the refusal says "waits for at least 60.0 s"
    And the refusal says "has not run and will not run by this request"
    And the refusal says "submit it again in 60 s"
