Feature: A caller gets the whole answer to its own request
  A response that is late, crossed or truncated reaches nobody.

  # Guards against passing on a response that is not whole or not the caller's own.
  Scenario Outline: A response that is <fault> is never passed on
    Given a fleet with seed 1
    When the next request sent is <fault>
    And entry e0 gets request X
    And 2.5 s pass
    Then request X got <result> and ran 1 times

    Examples:
      | fault      | result          |
      | late       | unknown         |
      | crossed    | unknown         |
      | truncated  | endpoint-failed |
      | unanswered | unknown         |

  # Guards against giving up on idempotent requests that another endpoint can answer.
  Scenario Outline: An idempotent request is sent again when its response is <fault>
    Given a fleet with seed 2
    When the next request sent is <fault>
    And entry e0 gets idempotent request X
    And 1 s pass
    Then request X got answered and ran <runs> times

    Examples:
      | fault       | runs |
      | crossed     | 2    |
      | truncated   | 2    |
      | lost before | 1    |

  # Guards against new work on slots, connections and limits of requests that may still
  # run; the world counts what runs at each endpoint.
  Scenario Outline: Requests whose connections are <fault> run on until their deadline
    Given a fleet with seed 5
    And all requests sent are <fault>
    When entry e0 gets 6 requests X of team a
    And entry e1 gets 6 requests Y of team b
    And entry e2 gets 6 requests Z of team a
    And 1.9 s pass
    And entry e0 gets 6 idempotent requests V
    And 4 s pass
    Then of 6 requests X at least 1 got unknown
    And no caller of a living entry waits

    Examples:
      | fault      |
      | cut off    |
      | crossed    |
      | unanswered |
      | late       |

  # Guards against an answer that is dropped since its caller had to wait for a pause.
  Scenario: An answer that came during a pause is passed on or unknown, and once
    Given a fleet with seed 3
    And endpoints take 0.2 s
    When entry e0 gets request X
    And 0.1 s pass
    And entry e0 pauses for 1.2 s
    And 2 s pass
    Then request X got answered and ran 1 times

  # Guards against reuse of connections whose state a middlebox has lost: without the
  # rule each of the six old connections would cost one request.
  Scenario: Two silent connections condemn the idle ones of their age
    Given a fleet with seed 4
    And endpoints take 0.3 s
    When entry e1 is asked to stop
    And entry e2 is asked to stop
    And 6 s pass
    And entry e0 gets 6 idempotent requests warm
    And 1 s pass
    And the open connections to i0 are mute
    And the open connections to i1 are mute
    And entry e0 gets 2 idempotent requests first
    And 2.5 s pass
    And entry e0 gets 2 idempotent requests second
    And 2.5 s pass
    And entry e0 gets 6 idempotent requests third
    And 2.5 s pass
    Then of 6 requests warm at least 6 got answered
    And of 6 requests third at least 6 got answered
