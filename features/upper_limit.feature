Feature: No team has more running than its upper limit
  After every event the running requests of all sessions together are within the limit,
  including unfinished requests of entries that have crashed.

  # Guards against overdrawn limits and against units that are never available again,
  # when transfers, lost and late records, crashes, pauses, partitions and changes of
  # limits interleave.
  Scenario Outline: Every limit holds under random events and faults
    Given six entries in three data centres with seed <seed>
    When 20000 random events and faults happen
    Then every unit is usable again within 60 s after the faults

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a give record that is taken for folded when the append of an earlier
  # one with the same content is repeated; its unit would be in use twice.
  Scenario: A repeated append doesn't confirm a later give with the same content
    Given six entries in three data centres with seed 1
    When an entry returns an idle unit twice and the first record is repeated
    Then the unit of the second record is not free again

  # Guards against a data centre that stops serving when it is cut off, because peers
  # elsewhere have taken all units.
  Scenario: A data centre that is cut off keeps its equal part
    Given six entries in three data centres with seed 1
    When all entries are idle for 10 s
    And dc1 is cut off for 1800 s while every entry has full demand
    Then dc1 ran 4 units of limit/wide all the time

  # Guards against units that stay with an entry without demand, or with the same entry
  # for ever when there are fewer units than entries: 3 units and 6 entries.
  Scenario: Units that can't be divided equally go to entries with demand
    Given six entries in three data centres with seed 1
    When only one entry has demand for 5 s
    Then this entry runs 3 units of limit/narrow
    When all entries have demand for 20 s
    Then each entry has run units of limit/narrow

  # Guards against an instance that counts as drained while requests run on it, or that
  # never does.
  Scenario: Units of a draining instance are returned when its requests have ended
    Given six entries in three data centres with seed 1
    And the entries of dc1 run requests on instance i1, for 3 s and for 9 s
    When its slots are reduced to 1 and i1 drains for 8 s
    Then i1 is not drained
    When all entries are idle for 4 s
    Then i1 is drained

  # Guards against a take and a give record for each request of a team with few
  # requests.
  Scenario: An entry keeps idle units while the reserve is large enough
    Given six entries in three data centres with seed 1
    When one entry uses 1 unit of limit/narrow each 5 s for 30 s
    Then this entry has appended one take and no give
