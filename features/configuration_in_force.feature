Feature: An accepted configuration is in force everywhere and never reverts
  Every process folds the same records of the log in the same order.

  # Guards against two operators who overwrite each other's change, because both publish
  # from the same base offset.
  Scenario: Of two publications from one base the second is void everywhere
    Given a running fleet with budget 4 and seed 1
    When two operators publish budgets 3 and 2 from the same configuration
    Then the first was accepted and the second is void as STALE_BASE
    And within 7 seconds every process has budget 3

  # Guards against a publication that takes effect twice: its answer was lost, and the
  # retry is appended after another operator's publication.
  Scenario: A publication whose answer was lost is folded once
    Given a running fleet with budget 4 and seed 2
    When budget 3 is published, then 2, then the first record again
    Then within 7 seconds every process has budget 2

  # Guards against a process that goes back to an older state when a page of records is
  # delayed or delivered twice.
  Scenario: Processes that read old records again keep the newer configuration
    Given a running fleet with budget 4 and seed 3
    When the budget is raised to 5
    And 7 seconds pass
    And every process reads the first 12 records again
    Then within 7 seconds every process has budget 5

  # Guards against a new process whose state, loaded from a snapshot, differs from
  # that of its peers.
  Scenario Outline: A snapshot and the records after it equal the full fold
    Given a running fleet with budget 4 and seed <seed>
    When 30 random faults and commands follow over 200 seconds
    And a process loads a snapshot made at each tenth offset and folds the rest
    Then each state equals that of the full fold

    Examples:
      | seed |
      | 21   |
      | 22   |
