Feature: A slow store is not loaded with repeated appends
  Pattern: the store carries out one append of a partition at a time, and slower than the
  nodes send them.

  # Guards against a queue that never gets shorter: attempts were given up after 1 s, and
  # repeated behind the first ones, which were carried out as well.
  Scenario: An append that waits in a slow store is not sent again
    Given a store that carries out appends after 0.3, 0.9 and 1.8 s
    When a node appends three records, one after the other
    Then the store has got 3 appends

  # Guards against waiting long for a lost answer while the store is not slow.
  Scenario: An append without an answer is repeated after 1 s
    Given a store that carries out appends after 0.01, 9 and 0.01 s
    When a node appends two records, one after the other
    Then the second is answered after 1.0 to 1.2 s

  # Guards against taking a store for fast whose newest append is not answered yet.
  Scenario: The duration of appends is that of the newest or of the one in progress
    Given a store that carries out appends after 0.9, 9 and 9 s
    When a node appends two records, one after the other
    Then appends take 0.9 s after 1.0 s
    And appends take 1.2 s after 2.1 s
