Feature: Records of the store have a limited size
  The store refuses a record that is larger than a limit in the settings, and with it all
  others of the same append.

  # Guards against an accepted job whose record the store refuses, so that nothing is
  # scheduled any more: one record held the runs of all its tasks.
  Scenario: A job has many tasks
    Given a scheduler with 2 endpoints whose store takes records of 16384 bytes
    When 1400 small tasks of 3000 ms are accepted, in jobs of up to 1400
    And 20 small tasks of 500 ms are accepted, in jobs of up to 4
    And 8 seconds pass
    Then all jobs are completed
    And the store refused no record
    And no rule was broken

  # Guards against a record that grows with the failures of a lasting task.
  Scenario: The tasks of a lasting job fail again and again
    Given a scheduler with 6 endpoints whose store takes records of 700 bytes
    And every endpoint fails its runs
    When job j1 of 4 lasting tasks is accepted
    And 900 seconds pass
    Then every task of j1 has failed at least 200 times
    And the store refused no record

  # Guards against a record that grows with checkpoints.
  Scenario: Checkpoints are longer than a record
    Given a scheduler with 2 endpoints whose store takes records of 16384 bytes
    And checkpoints have 6000 characters
    When 100 small checkpointing tasks of 20000 ms are accepted, in jobs of up to 100
    And 2 seconds pass
    And the endpoint of task 0 of j0 drains
    And 20 seconds pass
    Then all jobs are completed
    And the store refused no record
    And no rule was broken

  # Guards against a commit that takes so long over a slow link that other nodes claim the
  # term, each in turn; and against ends that are acknowledged before they are durable.
  Scenario: Many tasks start and end while the store is slow
    Given a scheduler with 4 endpoints
    And commits of at most 4000 bytes, and one record
    And the store takes 0.3 seconds for an append
    When 2000 small tasks of 500 ms are accepted, in jobs of up to 500
    And node a is killed after 1.9 seconds
    And node b takes the term after 1.5 seconds
    And 40 seconds pass
    Then all jobs are completed
    And no append was larger than 6000 bytes
    And no rule was broken

  # Guards against all jobs waiting for the record of one that the store refuses.
  Scenario Outline: The store refuses the runs of one job among many
    Given a scheduler with 4 endpoints
    And the store refuses the runs of job j42
    When 200 small tasks of <ms> ms are accepted, in jobs of up to 2
    And 2 seconds pass
    And node b takes the term after 0 seconds
    And 8 seconds pass
    Then job j42 is failed
    And 99 jobs are completed
    And no task is running
    And no rule was broken

    Examples:
      | ms   |
      | 300  |
      | 4000 |

  # Guards against the same where the other records of an append are in it.
  Scenario: The store refuses one record of an append
    Given a log of term 3 whose store refuses the record k42
    When records k0 to k99 are appended
    Then the store has all records but k42, in order and under consecutive numbers
    And k42 is reported as rejected

  # Guards against the same in any mix of faults.
  Scenario Outline: Large jobs, failures, checkpoints and takeovers
    Given random faults of seed <seed> around jobs of up to 600 tasks, with records of up to 16384 bytes
    Then the store refused no record
    And no rule was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
