Feature: A request that is refused as "not run" has not run

  # Guards against a write after the deadline: the entry is paused between the dispatch
  # of a request and its write.
  Scenario Outline: An entry is paused for <pause> s between dispatch and write
    Given a fleet with seed 1
    And requests are written 0.01 s after dispatch
    When entry e0 receives request X
    And 0.005 s pass
    And entry e0 pauses for <pause> s
    And 4 s pass
    Then request X has outcome <outcome> and ran <runs> times

    Examples:
      | pause | outcome  | runs |
      | 1.5   | answered | 1    |
      | 2.5   | not-run  | 0    |

  # Guards against running a request whose caller has stopped waiting: an entry that was
  # paused reads it late. The caller's timeout is 2 s.
  Scenario Outline: A request was read after <unread> s, when the entry was paused
    Given a fleet with seed 1
    And endpoints respond after 0.3 s
    When entry e0 reads request X <unread> s after it arrived
    And 2 s pass
    Then request X has outcome <outcome> and ran <runs> times

    Examples:
      | unread | outcome  | runs |
      | 0.8    | answered | 1    |
      | 1.9    | unknown  | 1    |
      | 2.5    | not-run  | 0    |
      | 6      | not-run  | 0    |

  # Guards against "not run" for a request whose bytes may have reached an endpoint that
  # is lost before it responds.
  Scenario Outline: The endpoint is <fault> the response
    Given a fleet with seed 2
    When the next request sent has fault <fault>
    And entry e0 receives request X
    And 1 s pass
    Then request X has outcome unknown and ran <runs> times

    Examples:
      | fault       | runs |
      | lost before | 0    |
      | lost during | 1    |
      | lost after  | 1    |

  # Guards against "not run" for an idempotent request whose first attempt ran and whose
  # retry could not be sent.
  Scenario: No endpoint is available for a retry before the deadline
    Given a fleet with seed 3
    When endpoint i1 is down
    And the next request sent has fault lost during
    And entry e0 receives idempotent request X
    And 3 s pass
    Then request X has outcome unknown and ran 1 times

  # Guards against a refusal of requests that another endpoint can run: nothing was sent
  # to the endpoint that refused the connection.
  Scenario: One endpoint refuses connections
    Given a fleet with seed 4
    When endpoint i0 is down
    And entry e0 receives 4 requests X of team a
    And 1.5 s pass
    Then of 4 requests X at least 4 have outcome answered

  # Guards against "not run" for a request written to a reused connection that the
  # endpoint closes at the same time.
  Scenario Outline: An idle connection closes <gap> s before a write, reuse is <reuse>
    Given a fleet with seed 5 and reuse "<reuse>"
    And requests are written <gap> s after dispatch
    When entry e0 receives 2 requests warm of team a
    And 0.5 s pass
    And endpoint i0 closes its idle connections
    And endpoint i1 closes its idle connections
    And entry e0 receives X without a caller's id
    And 2.5 s pass
    Then request X has outcome <outcome> and ran <runs> times

    Examples:
      | reuse  | gap    | outcome  | runs |
      | pooled | 0.0001 | unknown  | 0    |
      | pooled | 0.001  | answered | 1    |
      | fresh  | 0.0001 | answered | 1    |

  # Guards against running requests beyond a team's upper limit of 5, with 6 slots and
  # 18 requests at three entries.
  Scenario: A team sends more requests than its upper limit
    Given a fleet with seed 10
    And endpoints respond after 0.3 s
    When entry e0 receives 6 requests X of team a
    And entry e1 receives 6 requests Y of team a
    And entry e2 receives 6 requests Z of team a
    And 4 s pass
    Then no request at a live entry is pending
    And of 6 requests X at least 3 have outcome answered

  # Guards against a graceful stop that aborts running requests, accepts new ones or
  # leaves units in use.
  Scenario: An entry stops under load
    Given a fleet with seed 6
    And endpoints respond after 0.3 s
    When entry e0 receives 6 requests X of team a
    And entry e0 is asked to stop
    And entry e0 receives request late
    And 8 s pass
    Then of 6 requests X at least 6 have outcome answered
    And request late has outcome not-run and ran 0 times
    And entry e0 has ended
    And entry e0 has no units in use

  # Guards against a graceful stop that ends while a request without a response may
  # still run.
  Scenario: A stopping entry waits for a request without a response
    Given a fleet with seed 7
    And endpoints respond after 5 s
    When entry e0 receives request X
    And 0.1 s pass
    And entry e0 is asked to stop
    And 1.5 s pass
    Then request X has outcome nothing and ran 1 times
    When 2 s pass
    Then request X has outcome unknown and ran 1 times
    And entry e0 has ended

  # Guards against new work by an entry that was only paused after another process has
  # fenced it, that is, ended its session in the log.
  Scenario: The session of a paused entry is ended in the log
    Given a fleet with seed 8
    And endpoints respond after 1.5 s
    When entry e0 receives 6 requests X of team a
    And 0.01 s pass
    And entry e0 pauses for 1.2 s
    And entry e0 is fenced
    And 1.25 s pass
    And entry e0 receives request late
    Then request late has outcome not-run and ran 0 times
    And of 6 requests X at least 4 have outcome not-run
    When 1 s pass
    Then of 6 requests X at least 1 have outcome answered
    And entry e0 has ended

  # Guards against pairs of faults of which each is handled when it occurs alone. After
  # each event the simulation checks runs, refusals, slots, connections and limits.
  Scenario Outline: <first>, and <second>
    Given a fleet with seed 9
    And endpoints respond after 0.3 s
    When entry e0 receives 4 requests X of team a
    And entry e1 receives 4 idempotent requests Y
    And 0.05 s pass
    And <first>
    And 0.05 s pass
    And <second>
    And entry e1 receives 4 requests Z of team b
    And 8 s pass
    Then no request at a live entry is pending
    When entry e1 receives 2 requests W of team b
    And 2 s pass
    Then of 2 requests W at least 2 have outcome <outcome>

    Examples:
      | first                                      | second                    | outcome  |
      | entry e0 pauses for 3 s                    | endpoint i0 is down       | answered |
      | entry e0 pauses for 3 s                    | endpoint i0 is draining   | answered |
      | entry e0 pauses for 3 s                    | entry e0 is fenced        | answered |
      | entry e1 pauses for 3 s                    | endpoint i1 is down       | answered |
      | entry e0 is asked to stop                  | endpoint i0 is down       | answered |
      | entry e0 is asked to stop                  | entry e0 pauses for 3 s   | answered |
      | endpoint i0 is draining                    | entry e0 is asked to stop | answered |
      | endpoint i0 is down                        | endpoint i1 is down       | not-run  |
      | entry e0 is killed                         | endpoint i0 is down       | answered |
      | the open connections to i0 stop responding | entry e0 is asked to stop | answered |
      | the open connections to i0 stop responding | endpoint i0 is draining   | answered |
