Feature: Failing endpoints receive no requests that healthy ones could run

  # Guards against an endpoint that attracts requests because it fails fast and so has
  # the lowest load, and against the ejection of more than half of a pool.
  Scenario Outline: Endpoints <failing> answer with status 500
    Given a fleet of 1 entries with seed 1
    And endpoints respond after 0.3 s
    When endpoints <failing> answer with status 500
    And entry e0 receives a request every 0.1 s for 12 s
    Then endpoint i0 ran between <least> and <most> of these requests
    When endpoints <failing> answer with status 200
    And 10.5 s pass
    And entry e0 receives a request every 0.1 s for 2 s
    Then endpoint i0 ran between 9 and 11 of these requests

    Examples:
      | failing | least | most |
      | i0      | 6     | 7    |
      | i0,i1   | 40    | 120  |

  # Guards against a retry storm: retries that multiply the connection attempts to
  # endpoints that are down.
  Scenario: No endpoint accepts connections
    Given a fleet with seed 2
    When endpoint i0 is down
    And endpoint i1 is down
    And entry e0 receives an idempotent request every 0.1 s for 10 s
    Then between 100 and 120 connections were attempted

  # Guards against new work by an entry that has not renewed its session within the
  # isolation window (6 h), since other processes may have taken its units.
  Scenario: An entry has not renewed its session within the isolation window
    Given a fleet with seed 3
    When entry e0 renewed its session 21599.9 s ago
    And entry e0 receives request X
    And 0.2 s pass
    Then request X has outcome answered and ran 1 times
    When entry e0 receives request Y
    Then request Y has outcome not-run and ran 0 times
    When entry e0 renewed its session 0 s ago
    And entry e0 receives request Y
    And 1 s pass
    Then request Y has outcome answered and ran 1 times

  # Guards against two slow requests that are far apart and close healthy connections: a
  # response on a connection opened between theirs shows that these differ in age.
  Scenario: Two requests get no response, others in between do
    Given a fleet with seed 4
    And endpoints respond after 0.3 s
    When endpoint i1 is draining
    And the next request sent has fault unanswered
    And entry e0 receives 1 idempotent requests X
    And 3 s pass
    And entry e0 receives 3 idempotent requests Y
    And 1 s pass
    And the next request sent has fault unanswered
    And entry e0 receives request Z
    And 3 s pass
    Then request Z has outcome unknown and ran 1 times
    And endpoint i0 still has idle connections
