Feature: A caller receives the complete response to its own request
  A response that is late, truncated or crossed (it belongs to another request) is not
  forwarded to any caller.

  # Guards against forwarding a response that is late, incomplete or belongs to another
  # request.
  Scenario Outline: A response that is <fault> is never forwarded
    Given a fleet with seed 1
    When the next request sent has fault <fault>
    And entry e0 receives request X
    And 2.5 s pass
    Then request X has outcome <outcome> and ran 1 times

    Examples:
      | fault      | outcome         |
      | late       | unknown         |
      | crossed    | unknown         |
      | truncated  | endpoint-failed |
      | unanswered | unknown         |

  # Guards against an error for an idempotent request that can be retried after its
  # exchange with an endpoint failed.
  Scenario Outline: An idempotent request is retried after fault <fault>
    Given a fleet with seed 2
    When the next request sent has fault <fault>
    And entry e0 receives idempotent request X
    And 1 s pass
    Then request X has outcome answered and ran <runs> times

    Examples:
      | fault       | runs |
      | crossed     | 2    |
      | truncated   | 2    |
      | lost before | 1    |

  # Guards against slots, connections and units of a limit that are used again while
  # their request may still run. The simulation counts what runs at each endpoint.
  Scenario Outline: Requests with fault <fault> keep their units until their deadline
    Given a fleet with seed 5
    And all requests sent have fault <fault>
    When entry e0 receives 6 requests X of team a
    And entry e1 receives 6 requests Y of team b
    And entry e2 receives 6 requests Z of team a
    And 1.9 s pass
    And entry e0 receives 6 idempotent requests V
    And 4 s pass
    Then of 6 requests X at least 1 have outcome unknown
    And no request at a live entry is pending

    Examples:
      | fault      |
      | cut off    |
      | crossed    |
      | unanswered |
      | late       |

  # Guards against a dropped response that was received while the entry was paused.
  Scenario: A response received during a pause is forwarded once
    Given a fleet with seed 3
    And endpoints respond after 0.2 s
    When entry e0 receives request X
    And 0.1 s pass
    And entry e0 pauses for 1.2 s
    And 2 s pass
    Then request X has outcome answered and ran 1 times

  # Guards against reuse of connections whose state a middlebox has lost: unless two
  # silent connections lead to the closing of idle ones of the same age, each of the six
  # old connections would cost one request.
  Scenario: Two silent connections close the idle connections of the same age
    Given a fleet with seed 4
    And endpoints respond after 0.3 s
    When entry e1 is asked to stop
    And entry e2 is asked to stop
    And 6 s pass
    And entry e0 receives 6 idempotent requests warm
    And 1 s pass
    And the open connections to i0 stop responding
    And the open connections to i1 stop responding
    And entry e0 receives 2 idempotent requests first
    And 2.5 s pass
    And entry e0 receives 2 idempotent requests second
    And 2.5 s pass
    And entry e0 receives 6 idempotent requests third
    And 2.5 s pass
    Then of 6 requests warm at least 6 have outcome answered
    And of 6 requests third at least 6 have outcome answered
