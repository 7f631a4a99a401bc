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

  # Guards against refusing the jobs of all workspaces in an almost empty pool because
  # one has submitted more than its limit admits.
  Scenario: Work that waits for its workspace's limit is no wait for others
    Given a scheduler with 4 endpoints
    And the limit of workspace hot is 4 cores
    When workspace hot submits 500 tasks of 1 core and 10 s
    And 1 seconds pass
    Then no wait is published for the pool
    And a wait of 1230 to 1250 seconds is published for workspace hot
    When 2 jobs of steps 8x1000 are accepted over 1 seconds
    And 1 seconds pass
    Then all jobs of workspace w are completed

  # Guards against a wait for others that leaves out what the limit does admit, or
  # counts what it does not.
  Scenario Outline: The wait for others counts what a workspace's limit admits
    Given a scheduler with 4 endpoints
    And the limit of workspace hot is <limit> cores
    When workspace hot submits <tasks> tasks of 1 core and 10 s
    And workspace cold submits 96 tasks of 1 core and 10 s
    And 0.3 seconds pass
    Then a wait of <least> to <most> seconds is published

    Examples:
      | limit | tasks | least | most |
      | 16    | 500   | 18    | 20   |
      | 32    | 500   | 27    | 30   |
      | 32    | 32    | 18    | 20   |
      | 64    | 64    | 23    | 25   |

  # Guards against a limit of memory that is not seen by the estimate.
  Scenario: Work that waits for its workspace's memory is no wait for others
    Given a scheduler with 4 endpoints
    And the limit of workspace hot is 2048 MB
    When workspace hot submits 500 tasks of 1 core and 10 s
    And 1 seconds pass
    Then no wait is published for the pool

  # Guards against a term that ends because a wait does not fit into its record.
  Scenario: A wait that no clock would see the end of is published as a day
    Given a scheduler with 4 endpoints
    And the limit of workspace hot is 4 cores
    When workspace hot submits 200 tasks of 16000000 cores and 3600000000 s
    And workspace cold submits 200 tasks of 16000000 cores and 3600000000 s
    And 1 seconds pass
    Then a wait of 86400 to 86400 seconds is published
    And a wait of 86400 to 86400 seconds is published for workspace hot
    And node a is still the scheduler

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

  # Guards against a workspace beyond its limit whose jobs are accepted and end too late,
  # and against refusing those of others for it.
  Scenario Outline: The wait for a workspace's limit rejects its own jobs only
    Given a job intake and a store
    And the scheduler publishes a wait of 60 seconds for workspace <workspace>
    When job j1 is submitted with a deadline in 2 seconds
    Then <result>

    Examples:
      | workspace | result                                                          |
      | w         | it is rejected with a Retry-After of 60 seconds for its workspace |
      | other     | the reply is accepted                                           |

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
