Feature: What exceeds a limit of the platform is neither lost nor taken for absent
  The platform limits what an answer, a record and a call hold. The store is the stand-in,
  over HTTP.

  # Guards against keys that count as removed because a page left them out.
  Scenario Outline: More newest records than a page holds
    Given a store with <count> keys of <bytes> bytes
    When a node reads all newest records
    Then it gets each of them

    Examples:
      | count | bytes  |
      | 500   | 100    |
      | 501   | 100    |
      | 5000  | 100    |
      | 8     | 100000 |
      | 80    | 100000 |

  # Guards against records of the log that are skipped or read twice.
  Scenario Outline: More records than one read returns
    Given a store with <count> keys of <bytes> bytes
    When a node reads the log from its begin, in reads of 64 KB
    Then it gets each of them

    Examples:
      | count | bytes |
      | 641   | 100   |
      | 6400  | 100   |
      | 3     | 65000 |

  # Guards against an append that is repeated without end, or lost, for its size.
  Scenario Outline: A scheduler appends more than a record or a call may hold
    Given a store without records
    When a scheduler appends <count> records of <bytes> bytes, and 50 of 100 bytes
    Then <rejected> records are rejected, and the store has the others in order

    Examples:
      | count | bytes   | rejected |
      | 1     | 262144  | 0        |
      | 1     | 262145  | 1        |
      | 3     | 2621440 | 3        |
      | 8     | 262144  | 0        |
      | 9     | 262144  | 0        |
      | 80    | 262144  | 0        |

  # Guards against a request that the advice service refuses for its length.
  Scenario Outline: A pool has more endpoints than a request for advice may name
    Given a scheduler with <count> endpoints
    And queue q requires placement advice
    When job j1 of steps 40x300 is accepted
    And 20 seconds pass
    Then job j1 is completed
    And no rule was broken

    Examples:
      | count |
      | 100   |
      | 101   |
      | 1000  |
