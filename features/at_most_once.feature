Feature: A non-idempotent request runs at most once

  # Guards against a second run of a request whose caller repeats it at other entries,
  # first while it runs and then after it has been answered.
  Scenario: A running and then answered request is repeated at other entries
    Given a fleet with seed 1
    And endpoints respond after 0.5 s
    When entry e0 receives request X
    And 0.1 s pass
    And entry e1 receives request X
    And 0.1 s pass
    Then request X has outcome unknown and ran 1 times
    And request X has error code PRP-2303
    When 1 s pass
    And entry e2 receives request X
    And 0.1 s pass
    Then request X has outcome repeated and ran 1 times

  # Guards against a second run when the repeat arrives at the entry that runs the
  # request, which decides without a claim at its peers.
  Scenario: A request is repeated at the same entry
    Given a fleet with seed 2
    And endpoints respond after 0.5 s
    When entry e0 receives request X
    And entry e0 receives request X
    And 0.1 s pass
    Then request X has outcome unknown and ran 1 times
    When 1 s pass
    And entry e0 receives request X
    Then request X has outcome repeated and ran 1 times

  # Guards against a retry of a request whose outcome is unknown because its exchange
  # with the endpoint failed.
  Scenario Outline: The exchange with the endpoint fails with fault <fault>
    Given a fleet with seed 3
    When the next request sent has fault <fault>
    And entry e0 receives request X
    And 2.5 s pass
    And entry e1 receives request X
    And 0.5 s pass
    Then request X has outcome unknown and ran <runs> times

    Examples:
      | fault       | runs |
      | crossed     | 1    |
      | unanswered  | 1    |
      | stalled     | 0    |
      | lost during | 1    |

  # Guards against request ids that stay claimed after a refusal as not run, so that a
  # repeat of a request that was never sent is refused as well.
  Scenario Outline: A request that was refused as not run is repeated
    Given a fleet of <entries> entries with seed 4
    And endpoints respond after 0.5 s
    When endpoint i0 is down
    And endpoint i1 is down
    And entry e0 receives request X
    And 2.5 s pass
    Then request X has outcome not-run and ran 0 times
    When endpoint i0 is up
    And endpoint i1 is up
    And 6 s pass
    And entry e1 receives request X
    And 0.1 s pass
    And entry e0 receives request X
    And 0.1 s pass
    Then request X has outcome unknown and ran 1 times
    When 1 s pass
    And entry e2 receives request X
    And 0.5 s pass
    Then request X has outcome repeated and ran 1 times

    Examples:
      | entries |
      | 3       |
      | 5       |

  # Guards against a peer that reports a request id as running for ever after the entry
  # that answered the request has become unreachable.
  Scenario: The entry that answered is unreachable
    Given a fleet with seed 11
    When entry e0 receives request X
    And 0.5 s pass
    And entry e0 is cut off from its peers
    And entry e1 receives request X
    And 0.5 s pass
    Then request X has outcome unknown and ran 1 times
    And request X has error code none

  # Guards against a claim granted by a majority of an outdated membership, whose
  # entries may no longer exist: the entry is cut off from the log and misses a join.
  Scenario: An entry has not read the record of an entry that joined
    Given a fleet with seed 12
    When entry e0 is cut off from the log
    And entry e3 is started
    And 1 s pass
    And entry e0 receives request X
    And 2.5 s pass
    Then request X has outcome not-run and ran 0 times
    When entry e0 can read the log
    And 0.5 s pass
    And entry e0 receives request X
    And 0.5 s pass
    Then request X has outcome answered and ran 1 times

  # Guards against a new entry that accepts the claims of a peer as complete although
  # the peer has not read the new membership and may grant claims under the old one.
  Scenario: The only peer of a new entry has not read that it joined
    Given a fleet with seed 13
    When entry e2 is cut off from the log
    And entry e0 is killed
    And entry e1 is killed
    And entry e1 is started again
    And 2 s pass
    Then entry e1 cannot grant claims
    When entry e2 can read the log
    And 1 s pass
    Then entry e1 cannot grant claims
    When entry e0 is started again
    And 2 s pass
    Then entry e1 cannot grant claims

  # Guards against a second run when the entry is lost while it runs the request and the
  # caller repeats the request at a peer or at the restarted entry.
  Scenario Outline: The entry that runs a request is lost and <then>
    Given a fleet with seed 5
    And endpoints respond after 0.5 s
    When entry e0 receives request X
    And 0.1 s pass
    And entry e0 is killed
    And entry e0 is <then>
    And 3 s pass
    And entry <entry> receives request X
    And 1 s pass
    Then request X has outcome unknown and ran 1 times

    Examples:
      | then          | entry |
      | fenced        | e1    |
      | fenced        | e2    |
      | started again | e0    |
      | started again | e1    |

  # Guards against a second run when a majority of survivors has no copy of a claim: the
  # entry and its only witness are lost, and a new entry may join the third one, which
  # was cut off.
  Scenario Outline: The entry that ran a request and its witness are lost
    Given a fleet with seed 6
    And endpoints respond after 0.2 s
    When entry e2 is cut off from its peers
    And entry e0 receives request X
    And 0.4 s pass
    Then request X has outcome answered and ran 1 times
    When entry e0 is killed
    And entry e1 is killed
    And entry e2 can reach its peers
    And entry e0 is fenced
    And entry e1 is fenced
    And 1 s pass
    And <joins>
    And 3 s pass
    And entry <entry> receives request X
    And 2.5 s pass
    Then request X has outcome not-run and ran 1 times
    And request X has error code PRP-2304

    Examples:
      | joins                     | entry |
      | 0.1 s pass                | e2    |
      | entry e0 is started again | e0    |
      | entry e0 is started again | e2    |

  # Guards against a claim granted by a majority of the old membership while a new entry
  # joins: the witness is replaced by an entry without its claims, and the third entry
  # was cut off.
  Scenario: A witness is replaced while the third entry is cut off
    Given a fleet with seed 7
    And endpoints respond after 0.2 s
    When entry e2 is cut off from its peers
    And entry e0 receives request X
    And 0.4 s pass
    And entry e1 is killed
    And entry e0 is killed
    And entry e1 is started again
    And entry e2 can reach its peers
    And 3 s pass
    And entry e1 receives request X
    And 2.5 s pass
    Then request X has outcome not-run and ran 1 times

  # Guards against two runs of one request id in two data centres: the claim is made in
  # the data centre that the id names, wherever the request arrives.
  Scenario: A request id that names a data centre is claimed there
    Given a fleet with seed 8
    When entry e0 receives request dc1~X
    And 0.5 s pass
    And entry f0 receives a repeat of dc1~X
    And 0.5 s pass
    Then request dc1~X has outcome repeated and ran 1 times
    When entry f0 receives request dc1~Y
    And 0.5 s pass
    Then request dc1~Y has outcome answered and ran 1 times
    When entry e1 receives a repeat of dc1~Y
    And 0.5 s pass
    Then request dc1~Y has outcome repeated and ran 1 times
    When entry f0 is cut off from its peers
    And entry f0 receives request dc1~Z
    And 2.5 s pass
    Then request dc1~Z has outcome unknown and ran 0 times

  # Guards against a second run of a repeat whose first attempt may have run in another
  # data centre; the request id doesn't say in which.
  Scenario: A repeat is not run where its id without a data centre is unknown
    Given a fleet with seed 9
    When entry e0 receives request X
    And 0.5 s pass
    And entry f0 receives a repeat of X
    And 0.5 s pass
    Then request X has outcome unknown and ran 1 times

  # Guards against a claim without a majority, made by an entry that is cut off from all
  # its peers.
  Scenario: An entry that is cut off from its peers cannot claim a request id
    Given a fleet with seed 10
    When entry e0 receives request X
    And 0.5 s pass
    And entry e1 is cut off from its peers
    And entry e1 receives request Y
    And entry e1 receives a repeat of X
    And 2.5 s pass
    Then request Y has outcome not-run and ran 0 times
    And request Y has error code PRP-2304
    And request X has outcome unknown and ran 1 times

  # Guards against combinations of faults without a scenario of their own. After each
  # event the simulation checks runs, refusals, responses, slots, connections, limits.
  Scenario Outline: Random requests and faults over three entries
    When <events> random events happen with seed <seed> and reuse <reuse>
    Then every request got one response and no unit is left in use

    Examples:
      | events | seed | reuse  |
      | 400    | 1    | fresh  |
      | 400    | 2    | fresh  |
      | 400    | 3    | fresh  |
      | 400    | 4    | expect |
      | 400    | 5    | pooled |
      | 400    | 6    | fresh  |

  # Guards against majorities of different memberships that share no witness. Each of
  # these seeds leads to a second run or a false "not run" if one of the rules about
  # memberships is missing.
  Scenario Outline: Random repeats while entries are lost and started
    When 400 random repeats happen while entries are lost and started with seed <seed>
    Then every request got one response and no unit is left in use

    Examples:
      | seed |
      | 1    |
      | 5    |
      | 32   |
      | 93   |
