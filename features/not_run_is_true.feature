Feature: A refusal that says "not run" is true

  # Guards against a write after the deadline by an entry that was paused between its
  # decision and the write.
  Scenario Outline: An entry is paused for <pause> s before the write of a request
    Given a fleet with seed 1
    And writes start 0.01 s after their decision
    When entry e0 gets request X
    And 0.005 s pass
    And entry e0 pauses for <pause> s
    And 4 s pass
    Then request X got <result> and ran <runs> times

    Examples:
      | pause | result   | runs |
      | 1.5   | answered | 1    |
      | 2.5   | not-run  | 0    |

  # Guards against "not run" for a request whose bytes may have reached an endpoint.
  Scenario Outline: The endpoint is <fault> the answer
    Given a fleet with seed 2
    When the next request sent is <fault>
    And entry e0 gets request X
    And 1 s pass
    Then request X got unknown and ran <runs> times

    Examples:
      | fault       | runs |
      | lost before | 0    |
      | lost during | 1    |
      | lost after  | 1    |

  # Guards against "not run" for an idempotent request whose first attempt ran.
  Scenario: A retry finds no endpoint before the deadline
    Given a fleet with seed 3
    When endpoint i1 is down
    And the next request sent is lost during
    And entry e0 gets idempotent request X
    And 3 s pass
    Then request X got unknown and ran 1 times

  # Guards against a refusal of requests that another endpoint can take: nothing was
  # sent to the one that refused the connection.
  Scenario: One endpoint refuses connections
    Given a fleet with seed 4
    When endpoint i0 is down
    And entry e0 gets 4 requests X of team a
    And 1.5 s pass
    Then of 4 requests X at least 4 got answered

  # Guards against "not run" on a reused connection that closes as it is used.
  Scenario Outline: An idle connection closes <gap> s before its use with <reuse>
    Given a fleet with seed 5 and reuse "<reuse>"
    And writes start <gap> s after their decision
    When entry e0 gets 2 requests warm of team a
    And 0.5 s pass
    And endpoint i0 closes its idle connections
    And endpoint i1 closes its idle connections
    And entry e0 gets X without an id of its caller
    And 2.5 s pass
    Then request X got <result> and ran <runs> times

    Examples:
      | reuse  | gap    | result   | runs |
      | pooled | 0.0001 | unknown  | 0    |
      | pooled | 0.001  | answered | 1    |
      | fresh  | 0.0001 | answered | 1    |

  # Guards against work beyond a team's upper limit, here 5 of 6 slots.
  Scenario: A team asks for more than its upper limit
    Given a fleet with seed 10
    And endpoints take 0.3 s
    When entry e0 gets 6 requests X of team a
    And entry e1 gets 6 requests Y of team a
    And entry e2 gets 6 requests Z of team a
    And 4 s pass
    Then no caller of a living entry waits
    And of 6 requests X at least 3 got answered

  # Guards against a stop that cuts off work or leaves units in use.
  Scenario: An entry stops under load
    Given a fleet with seed 6
    And endpoints take 0.3 s
    When entry e0 gets 6 requests X of team a
    And entry e0 is asked to stop
    And entry e0 gets request late
    And 8 s pass
    Then of 6 requests X at least 6 got answered
    And request late got not-run and ran 0 times
    And entry e0 has ended
    And entry e0 has no units in use

  # Guards against a stop that ends while an unanswered request may still run.
  Scenario: An entry that stops waits for a silent connection
    Given a fleet with seed 7
    And endpoints take 5 s
    When entry e0 gets request X
    And 0.1 s pass
    And entry e0 is asked to stop
    And 1.5 s pass
    Then request X got nothing and ran 1 times
    When 2 s pass
    Then request X got unknown and ran 1 times
    And entry e0 has ended

  # Guards against work by an entry that another process has proved dead.
  Scenario: The log ends the session of an entry that only was paused
    Given a fleet with seed 8
    And endpoints take 1.5 s
    When entry e0 gets 6 requests X of team a
    And 0.01 s pass
    And entry e0 pauses for 1.2 s
    And entry e0 is fenced
    And 1.25 s pass
    And entry e0 gets request late
    Then request late got not-run and ran 0 times
    And of 6 requests X at least 4 got not-run
    When 1 s pass
    Then of 6 requests X at least 1 got answered
    And entry e0 has ended

  # Guards against faults that are handled alone but not together; the world checks
  # runs, refusals, slots, connections and limits after each event.
  Scenario Outline: <first>, and <second>
    Given a fleet with seed 9
    And endpoints take 0.3 s
    When entry e0 gets 4 requests X of team a
    And entry e1 gets 4 idempotent requests Y
    And 0.05 s pass
    And <first>
    And 0.05 s pass
    And <second>
    And entry e1 gets 4 requests Z of team b
    And 8 s pass
    Then no caller of a living entry waits
    When entry e1 gets 2 requests W of team b
    And 2 s pass
    Then of 2 requests W at least 2 got <later>

    Examples:
      | first                               | second                       | later    |
      | entry e0 pauses for 3 s             | endpoint i0 is down          | answered |
      | entry e0 pauses for 3 s             | endpoint i0 is draining      | answered |
      | entry e0 pauses for 3 s             | entry e0 is fenced           | answered |
      | entry e1 pauses for 3 s             | endpoint i1 is down          | answered |
      | entry e0 is asked to stop           | endpoint i0 is down          | answered |
      | entry e0 is asked to stop           | entry e0 pauses for 3 s      | answered |
      | endpoint i0 is draining             | entry e0 is asked to stop    | answered |
      | endpoint i0 is down                 | endpoint i1 is down          | not-run  |
      | entry e0 is killed                  | endpoint i0 is down          | answered |
      | the open connections to i0 are mute | entry e0 is asked to stop    | answered |
      | the open connections to i0 are mute | endpoint i0 is draining      | answered |
