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
