Feature: A leaving endpoint receives no new requests after a few seconds
  The simulation fails if a request is written to an endpoint that was listed as leaving
  more than 5 s before.

  # Guards against routing by a stale instance list after a pause, when requests are
  # handled before the list has been read again.
  Scenario: An endpoint leaves while the entry is paused
    Given a fleet with seed 1
    When entry e0 receives 4 idempotent requests warm
    And 0.5 s pass
    And entry e0 pauses for 8 s
    And endpoint i0 is listed as leaving
    And 1 s pass
    And entry e0 receives 4 requests X of team a
    And 9 s pass
    Then of 4 requests X at least 4 have outcome answered
    And endpoint i0 has no connections

  # Guards against a write to a leaving endpoint by an entry that was paused for 4.9 s
  # between the dispatch of a request and its write.
  Scenario: An endpoint leaves between the dispatch of a request and its write
    Given a fleet with seed 2
    And requests are written 0.01 s after dispatch
    And requests have a timeout of 20 s
    When entry e0 receives 4 requests X of team a
    And 0.005 s pass
    And entry e0 pauses for 4.9 s
    And endpoint i0 is listed as leaving
    And endpoint i1 is listed as leaving
    And 12 s pass
    Then of 4 requests X at least 4 have outcome not-run

  # Guards against new requests to a draining endpoint, and against a drain that never
  # ends because idle connections keep their units.
  Scenario: An endpoint is draining under load and while an entry is paused
    Given a fleet with seed 3
    And endpoints respond after 0.3 s
    When entry e0 receives 4 requests X of team a
    And entry e1 receives 4 idempotent requests Y
    And 0.1 s pass
    And entry e2 pauses for 3 s
    And endpoint i0 is draining
    And 2.5 s pass
    And entry e0 receives 2 requests Z of team a
    And 5 s pass
    Then endpoint i0 has drained
    And endpoint i0 has no connections
    And of 4 requests X at least 4 have outcome answered
    And of 2 requests Z at least 2 have outcome answered

  # Guards against a separate read of the instance list for each request that waits for
  # a current list after a pause.
  Scenario: Waiting requests share one read of the instance list
    Given a fleet with seed 5
    When entry e0 pauses for 8 s
    And 1 s pass
    And entry e0 receives 6 requests X of team a
    And 7.9 s pass
    Then of 6 requests X at least 6 have outcome answered
    And entry e0 has read the instance list once in the last 1.5 s

  # Guards against an entry that stops serving because the platform's instance list is
  # unavailable.
  Scenario: The platform's instance list is down
    Given a fleet with seed 4
    When the platform's instance list is down
    And 8 s pass
    And entry e0 receives 4 requests X of team a
    And 1.5 s pass
    Then of 4 requests X at least 4 have outcome answered

  # Guards against an entry that still takes the instance list for unavailable after a
  # pause and so doesn't read it again before it sends requests.
  Scenario: The platform's instance list is down until the entry pauses
    Given a fleet with seed 6
    When the platform's instance list is down
    And 8 s pass
    And entry e0 pauses for 8 s
    And the platform's instance list is up
    And endpoint i0 is listed as leaving
    And 6 s pass
    And entry e0 receives 4 idempotent requests X
    And 3.5 s pass
    Then of 4 requests X at least 4 have outcome answered
