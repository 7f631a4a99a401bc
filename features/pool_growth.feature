Feature: A pool grows in time for a burst
  Pattern: a burst of short jobs begins in a pool that is full of lasting tasks.

  # Guards against a pool that does not grow until its jobs wait: its lasting tasks use
  # as much as the burst needs, and only the larger of the two counted.
  Scenario: Arriving work counts besides lasting tasks
    Given a pool of 20 endpoints whose lasting tasks use 160 cores
    When jobs of 160 cores for 1 s arrive within 0.4 s
    Then the pool needs at least 25 endpoints
    And the need is at most that of 400 cores
