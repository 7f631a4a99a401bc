Feature: Failing endpoints do not take work that others could do

  # Guards against an endpoint that fails fast and so looks least loaded, and against
  # ejecting more than half of a pool.
  Scenario Outline: <failing> answer with status 500
    Given a fleet of 1 entries with seed 1
    And endpoints take 0.3 s
    When endpoints <failing> answer with status 500
    And entry e0 gets a request every 0.1 s for 12 s
    Then endpoint i0 ran between <least> and <most> of them
    When endpoints <failing> answer with status 200
    And 10.5 s pass
    And entry e0 gets a request every 0.1 s for 2 s
    Then endpoint i0 ran between 9 and 11 of them

    Examples:
      | failing | least | most |
      | i0      | 6     | 7    |
      | i0,i1   | 40    | 120  |

  # Guards against retries that multiply the load on endpoints that fail.
  Scenario: No endpoint accepts connections
    Given a fleet with seed 2
    When endpoint i0 is down
    And endpoint i1 is down
    And entry e0 gets an idempotent request every 0.1 s for 10 s
    Then between 100 and 120 connections were tried

  # Guards against work by an entry whose units other processes may have taken.
  Scenario: An entry has had no contact with the log for the isolation window
    Given a fleet with seed 3
    When entry e0 has renewed its session 21599.9 s ago
    And entry e0 gets request X
    And 0.2 s pass
    Then request X got answered and ran 1 times
    When entry e0 gets request Y
    Then request Y got not-run and ran 0 times
    When entry e0 has renewed its session 0 s ago
    And entry e0 gets request Y
    And 1 s pass
    Then request Y got answered and ran 1 times

  # Guards against slow requests far apart that close good connections: an answer on a
  # connection opened between theirs shows that they are of different ages.
  Scenario: Two requests are not answered, with answers in between
    Given a fleet with seed 4
    And endpoints take 0.3 s
    When endpoint i1 is draining
    And the next request sent is unanswered
    And entry e0 gets 1 idempotent requests X
    And 3 s pass
    And entry e0 gets 3 idempotent requests Y
    And 1 s pass
    And the next request sent is unanswered
    And entry e0 gets request Z
    And 3 s pass
    Then request Z got unknown and ran 1 times
    And endpoint i0 still has idle connections
