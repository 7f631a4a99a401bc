Feature: A pool grows in time for a burst
  Patterns: a burst of short jobs begins in a pool that is full of lasting tasks, and in
  the seconds after another pool's burst, whose instances were switched off just now.

  # Guards against a pool that does not grow until its jobs wait: its lasting tasks use
  # as much as the burst needs, and only the larger of the two counted.
  Scenario: Arriving work counts besides lasting tasks
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    When jobs of 160 cores for 1 s arrive within 0.4 s
    Then the pool needs at least 25 endpoints
    And the need is at most that of 400 cores

  # Guards against instances that are off and can't be lent, because the list of
  # instances that says so is up to 3 s old.
  Scenario: A switched-off instance is lent again when its move has ended
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    And 5 idle instances whose move to the spare pool was carried out at 10 s
    When jobs of 320 cores for 1 s arrive at 11.8 s
    Then no instance is moved before 11.7 s
    And 5 instances are moved to the pool by 12.2 s

  # Guards against an instance that is taken for ready although its move was not
  # confirmed.
  Scenario: An unanswered move does not end by itself
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    And 5 idle instances whose move to the spare pool was not answered at 10 s
    When jobs of 320 cores for 1 s arrive at 11.8 s
    Then no instance is moved before 13 s

  # Guards against lasting tasks that wait without end in a pool whose memory is full
  # while its processors are not: only processor time counted as demand.
  Scenario: A pool grows for lasting tasks that wait for memory
    Given a pool of 4 endpoints whose lasting tasks use 32 cores
    And 12 idle instances whose move to the spare pool was carried out at 10 s
    When a lasting job of 24 tasks of 1 core and 8000 MB is accepted at 12 s
    And 1 second passes
    Then 2 instances have been moved to the pool

  # Guards against instances that are moved to a pool for tasks that may not start.
  Scenario: A pool does not grow for lasting tasks beyond their workspace's limit
    Given a pool of 4 endpoints whose lasting tasks use 32 cores
    And 12 idle instances whose move to the spare pool was carried out at 10 s
    And the workspace has an upper limit of 50 cores
    When a lasting job of 24 tasks of 1 core and 8000 MB is accepted at 12 s
    And 1 second passes
    Then 1 instance has been moved to the pool

  # Guards against a limit that is counted anew for each job that waits for it.
  Scenario: A pool does not grow for lasting jobs that together exceed the limit
    Given a pool of 4 endpoints whose lasting tasks use 32 cores
    And 12 idle instances whose move to the spare pool was carried out at 10 s
    And the workspace has an upper limit of 50 cores
    When 12 lasting jobs of 6 tasks of 1 core and 8000 MB are accepted at 12 s
    And 1 second passes
    Then 1 instance has been moved to the pool

  # Guards against an instance for each job, though one holds several of them.
  Scenario: Lasting jobs of one task share the instances that a pool grows by
    Given a pool of 4 endpoints whose lasting tasks use 32 cores
    And 12 idle instances whose move to the spare pool was carried out at 10 s
    And the workspace has an upper limit of 50 cores
    When 24 lasting jobs of 1 tasks of 1 core and 8000 MB are accepted at 12 s
    And 1 second passes
    Then 1 instance has been moved to the pool

  # Guards against demand for work that no instance could start.
  Scenario: Jobs beyond their workspace's limit are no demand while they wait
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    And the workspace has an upper limit of 200 cores
    When jobs of 640 cores for 60 s arrive within 0.4 s
    And the arrivals have been forgotten
    Then the pool needs 20 endpoints with its waiting work

  # Guards against instances that arrive only after the begin of a turn that is expected.
  # The three other pools take two each.
  Scenario: Instances are lent ahead of an expected turn
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    And 12 idle instances whose move to the spare pool was carried out at 10 s
    And a turn with 1000 cores is expected in the pool at 14 s
    When time advances to 14 s
    Then no instance is moved before 12.1 s
    And 6 instances are moved to the pool by 12.5 s

  # Guards against instances that a pool needs now and that are lent to another pool
  # ahead of a larger turn.
  Scenario: What a pool needs now goes before an expected turn
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    And 5 idle instances whose move to the spare pool was carried out at 10 s
    And a turn with 4000 cores is expected in another pool at 13.5 s
    When jobs of 320 cores for 1 s arrive at 11.8 s
    Then 5 instances are moved to the pool by 12.2 s
