Feature: Endpoints with more ends of runs than they list at a time
  An endpoint lists the 500 oldest ends that no poll has acknowledged. A run that is in
  neither of its lists may have ended.

  # Guards against tasks that run twice: a successor took runs for lost whose ends the
  # first answer of their endpoint left out.
  Scenario Outline: The scheduler is replaced while many runs end on one endpoint
    Given a scheduler with 1 endpoints
    When <tasks> small tasks of 3000 ms are accepted, in jobs of up to 100
    And node a is killed after 2.8 seconds
    And node b takes the term after 1.5 seconds
    And 2 seconds pass
    Then all jobs are completed
    And <tasks> runs were started
    And no rule was broken

    Examples:
      | tasks |
      | 500   |
      | 501   |
      | 2000  |
      | 5000  |

  # Guards against the same at one scheduler: ends are acknowledged only once they are
  # durable, so they accumulate while the store is down.
  Scenario: Many runs end on one endpoint while the store is down
    Given a scheduler with 1 endpoints
    When 700 small tasks of 3000 ms are accepted, in jobs of up to 100
    And 2.8 seconds pass
    And the store goes down
    And 1.5 seconds pass
    And the store comes back
    And 2 seconds pass
    Then all jobs are completed
    And 700 runs were started
    And no rule was broken

  # Guards against lost progress: the checkpoint of a stopped run comes with its end.
  Scenario: Many runs are stopped on one endpoint while the store is down
    Given a scheduler with 2 endpoints
    When 1400 small checkpointing tasks of 20000 ms are accepted, in jobs of up to 100
    And 4 seconds pass
    And the store goes down
    And the endpoint of task 0 of j0 drains
    And 1.5 seconds pass
    And the store comes back
    And 2 seconds pass
    Then every run that is not the first of its task resumes from a checkpoint
    And no rule was broken

  # Guards against a cut list that counts as complete.
  Scenario Outline: A worker answers a poll with many ends
    When a worker answers a poll with <ends> ends
    Then the answer counts as <kind>

    Examples:
      | ends | kind     |
      | 0    | complete |
      | 499  | complete |
      | 500  | cut      |
