Feature: No team has more running than its upper limit
  After every event the work running in all sessions, the unfinished work of dead ones
  included, is within the limit.

  # Guards against overdrawn limits and against units lost for good when transfers,
  # lost and late records, crashes, pauses, partitions and limit changes interleave.
  Scenario Outline: Random events and faults keep every limit
    Given six entries in three data centres, driven by seed <seed>
    When 20000 random events and faults happen
    Then every unit can be used within 60 s after the faults

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a later give that counts as folded when an earlier one is repeated.
  Scenario: A repeated append settles no later give of the same content
    Given six entries in three data centres, driven by seed 1
    When an entry gives an idle unit back twice and the first record is repeated
    Then the unit of the second record is not free again

  # Guards against a data centre that stops serving when it is cut off.
  Scenario: A data centre that is cut off goes on with its equal part
    Given six entries in three data centres, driven by seed 1
    When all entries are idle for 10 s
    And dc1 is cut off for 1800 s under full demand everywhere
    Then dc1 ran 4 units of limit/wide throughout

  # Guards against units that stay where nobody needs them, or with one entry for good.
  Scenario: Odd units go where the demand is
    Given six entries in three data centres, driven by seed 1
    When only one entry has demand for 5 s
    Then it runs 3 units of limit/narrow
    When all entries have demand for 20 s
    Then each entry has run units of limit/narrow

  # Guards against an instance that counts as drained while work runs on it, or never.
  Scenario: Units of a draining instance return when its work has ended
    Given six entries in three data centres, driven by seed 1
    And the entries of dc1 run work on instance i1, for 3 s and for 9 s
    When its slots are lowered to 1 and i1 drains for 8 s
    Then i1 is not drained
    When all entries are idle for 4 s
    Then i1 is drained

  # Guards against records at every request of a quiet team.
  Scenario: Idle units stay with an entry while the reserve has enough of them
    Given six entries in three data centres, driven by seed 1
    When one entry uses 1 unit of limit/narrow each 5 s for 30 s
    Then it has appended one take and no give
