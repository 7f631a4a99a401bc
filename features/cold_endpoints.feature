Feature: Cold endpoints take work according to their capacity
  Endpoints of 16 cores; a task takes 2, and twice its time if it starts on a cold endpoint.

  # Guards against a cold endpoint that is filled like a warm one while both have more work
  # than they can take, and against one that stays without work when it is warm.
  Scenario: The share of a cold endpoint grows
    Given a scheduler with a warm endpoint and one that is cold for 10 s
    When more jobs of tasks of 300 ms than both can take are accepted for 14 s
    Then the cold endpoint never had more tasks than its share, which grows over 10 s
    And it had 8 tasks at a time in the end
    And no rule was broken

  # Guards against work that starts on a cold endpoint while a warm one has room.
  Scenario: A warm endpoint with room goes first
    Given a scheduler with a warm endpoint and one that is cold for 10 s
    When job j1 of steps 8x500 is accepted
    And 0.5 seconds pass
    Then endpoint cold got at most 0 runs
    When job j2 of steps 10x500 is accepted
    And 5 seconds pass
    Then all jobs are completed

  # Guards against a job that misses its objective on a cold endpoint though a warm one is
  # about to have room, and against one that waits although none is or it need not.
  Scenario Outline: A job with little time to spare
    Given a scheduler with a warm endpoint and one that is cold for 10 s
    When job j1 of steps 8x<busy> is accepted
    And 0.4 seconds pass
    And job j2 of steps 1x500 with <slack> ms to spare is accepted
    And 0.1 seconds pass
    Then endpoint cold got <runs> runs
    When 0.3 seconds pass
    Then endpoint cold got <runs> runs

    Examples:
      | busy | slack | runs |
      | 500  | 220   | 0    |
      | 3000 | 220   | 1    |
      | 500  | 400   | 1    |

  # Guards against a pool that stands still as long as all its endpoints are cold.
  Scenario: All endpoints are cold
    Given a scheduler with a warm endpoint and one that is cold for 400 s
    When the warm endpoint is cold for 400 s as well
    And 10 jobs of steps 2x200 are accepted over 5 seconds
    And 3 seconds pass
    Then all jobs are completed

  # Guards against a restarted endpoint whose share goes on from that before.
  Scenario: A cold endpoint restarts
    Given a scheduler with a warm endpoint and one that is cold for 4 s
    When 3.5 seconds pass
    And the cold endpoint restarts and is cold for 20 s
    And more jobs of tasks of 300 ms than both can take are accepted for 6 s
    Then the cold endpoint never had more tasks than its share, which grows over 20 s

  # Guards against members of a gang on capacity that a cold endpoint does not have yet.
  Scenario: A gang waits until an endpoint is warm enough
    Given a scheduler with a warm endpoint and one that is cold for 5 s
    When job j1 of a gang 4x500 of 8 cores is accepted
    And 3 seconds pass
    Then 0 runs were started
    When 4 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against an endpoint's report whose field is not read, or is required.
  Scenario Outline: Reports of cold endpoints are decoded
    Given a report of an endpoint with cold_remaining_ms <value>
    Then it is cold for <seconds> s after the time of its arrival

    Examples:
      | value  | seconds |
      | 2500   | 2.5     |
      | 0      | 0       |
      | absent | 0       |
