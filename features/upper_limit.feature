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
