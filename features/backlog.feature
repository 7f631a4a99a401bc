Feature: What can't be served is rejected at once, with when to come back
  Four endpoints of 16 cores, none of them can be lent. A job is worth nothing to its
  caller after three times its objective.

  # Guards against a rejection while there is room.
  Scenario: No wait is told while jobs can start
    Given a scheduler with 4 endpoints
    When 4 jobs of steps 4x1000 are accepted over 2 seconds
    Then no wait is told

  # Guards against callers that wait for an answer that can't come in time, and against a
  # pool that is said to be full for good.
  Scenario: A wait is told while more is asked than all instances can do
    Given a scheduler with 4 endpoints
    When 40 jobs of steps 16x3000 are accepted over 2 seconds
    And 0.5 seconds pass
    Then a wait of 55 to 65 seconds is told
    When 70 seconds pass
    Then no wait is told

  # Guards against a Retry-After that is too early, and one where there is still time.
  Scenario Outline: When a job is to come back
    Given a job of one step of <chain> ms, with a stretch of 2 and 600 ms
    When the wait is <wait> ms
    Then it is to come back after <after> seconds

    Examples:
      | chain | wait  | after |
      | 1000  | 0     | 0     |
      | 1000  | 6800  | 0     |
      | 1000  | 6801  | 1     |
      | 1000  | 12300 | 6     |
      | 0     | 1800  | 0     |

  # Guards against a rejection of what another node has accepted already.
  Scenario: A job that was accepted is never rejected
    Given a job intake and a store
    And another node has stored job j1
    And the scheduler tells a wait of 60 seconds
    When job j1 is submitted with 2 seconds of time
    Then the reply is accepted

  Scenario: A job that can't be served is rejected and not stored
    Given a job intake and a store
    And the scheduler tells a wait of 60 seconds
    When job j1 is submitted with 2 seconds of time
    Then it is rejected for 60 seconds

  # Guards against rejections for a wait that a scheduler told long ago.
  Scenario: An old word of a wait rejects nothing
    Given a job intake and a store
    And the scheduler told a wait of 60 seconds 3 seconds ago
    When job j1 is submitted with 2 seconds of time
    Then the reply is accepted
