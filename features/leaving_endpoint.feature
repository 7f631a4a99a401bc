Feature: A leaving endpoint gets no new work after a few seconds
  The world fails if a request is written to an endpoint that was listed as leaving
  more than 5 s before.

  # Guards against routing by an old list after a pause, when the first requests come
  # before the list has been read again.
  Scenario: An endpoint leaves while the entry is paused
    Given a fleet with seed 1
    When entry e0 gets 4 idempotent requests warm
    And 0.5 s pass
    And entry e0 pauses for 8 s
    And endpoint i0 is listed as leaving
    And 1 s pass
    And entry e0 gets 4 requests X of team a
    And 9 s pass
    Then of 4 requests X at least 4 got answered
    And endpoint i0 has no connections

  # Guards against a write that was decided before a pause.
  Scenario: An endpoint leaves between a decision and its write
    Given a fleet with seed 2
    And writes start 0.01 s after their decision
    And calls may take 20 s
    When entry e0 gets 4 requests X of team a
    And 0.005 s pass
    And entry e0 pauses for 4.9 s
    And endpoint i0 is listed as leaving
    And endpoint i1 is listed as leaving
    And 12 s pass
    Then of 4 requests X at least 4 got not-run

  # Guards against new work on a draining endpoint, and against units that stay taken
  # by idle connections, so that the drain never ends.
  Scenario: An endpoint is draining under load and while an entry is paused
    Given a fleet with seed 3
    And endpoints take 0.3 s
    When entry e0 gets 4 requests X of team a
    And entry e1 gets 4 idempotent requests Y
    And 0.1 s pass
    And entry e2 pauses for 3 s
    And endpoint i0 is draining
    And 2.5 s pass
    And entry e0 gets 2 requests Z of team a
    And 5 s pass
    Then endpoint i0 has drained
    And endpoint i0 has no connections
    And of 4 requests X at least 4 got answered
    And of 2 requests Z at least 2 got answered

  # Guards against one read of the list for each request after a pause.
  Scenario: Waiting requests share one read of the list
    Given a fleet with seed 5
    When entry e0 pauses for 8 s
    And 1 s pass
    And entry e0 gets 6 requests X of team a
    And 7.9 s pass
    Then of 6 requests X at least 6 got answered
    And entry e0 has asked for the list once in the last 1.5 s

  # Guards against an entry that stops serving since the platform's list is down.
  Scenario: The platform's list is down
    Given a fleet with seed 4
    When the platform's list is down
    And 8 s pass
    And entry e0 gets 4 requests X of team a
    And 1.5 s pass
    Then of 4 requests X at least 4 got answered

  # Guards against trust in what was known of the list before a pause.
  Scenario: The platform's list was down before a pause
    Given a fleet with seed 6
    When the platform's list is down
    And 8 s pass
    And entry e0 pauses for 8 s
    And the platform's list is up
    And endpoint i0 is listed as leaving
    And 6 s pass
    And entry e0 gets 4 idempotent requests X
    And 3.5 s pass
    Then of 4 requests X at least 4 got answered
