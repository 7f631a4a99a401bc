Feature: One node schedules, and another takes over when its heartbeats stop

  # Guards against claiming the term while its scheduler is alive, and against never
  # claiming it.
  Scenario Outline: A node claims the next term when the scheduler's heartbeats stop
    Given a node that got a heartbeat <heartbeat> s ago, connected to the store <connected> s ago and read it <read> s ago
    And the term's holder is <holder>
    Then the node <claims> the next term

    Examples:
      | heartbeat | connected | read | holder  | claims         |
      | 0.5       | 60        | 0.1  | other   | does not claim |
      | 1.7       | 60        | 0.1  | other   | claims         |
      | 1.7       | 60        | 1.5  | other   | does not claim |
      | 1.0       | 60        | 0.1  | other   | does not claim |
      | 1.2       | 60        | 0.1  | other   | claims         |
      | 1.2       | 60        | 1.5  | other   | does not claim |
      | 9.0       | 0.5       | 0.1  | other   | does not claim |
      | 9.0       | 0.9       | 0.1  | other   | claims         |
      | 0.1       | 60        | 0.1  | nobody  | claims         |
      | 0.1       | 60        | 0.1  | itself  | claims         |

  # Guards against tasks that run twice. After a claim without a response, the node took
  # itself for the previous scheduler, and replaced the runs of the real one 2 s too
  # early.
  Scenario: A claim without a response does not shorten the takeover wait
    Given a scheduler b whose last heartbeat is 4.3 s old
    When node a claims the next term without a response
    And node a claims the term after it
    Then a replaces no run of b before its grants and leases have expired

  # Guards against a task that is started again while its run goes on: the scheduler
  # before has certainly ended, but the one before it may still have granted leases.
  Scenario: The wait after an ended process covers the scheduler before it
    Given a scheduler b whose last heartbeat is 2 s old
    And an earlier process of node a that has claimed the term after it and ended
    When node a claims the next term
    Then a replaces no run of b before its grants and leases have expired

  # Guards against the same for two terms of one process, of which the first has waited for
  # the scheduler before it.
  Scenario: A second term of a process waits for the scheduler before its first
    Given a scheduler b whose last heartbeat is 1.2 s old
    When node a claims the next term
    And node a loses its term and claims the next one
    Then a replaces no run of b before its grants and leases have expired

  # Guards against leases that outlast the takeover wait. They were counted from a
  # commit that other nodes did not take as a heartbeat.
  Scenario: Leases are counted from commits that are heartbeats
    Given a scheduler whose queue waits have changed
    When its renewal is due
    Then it commits a heartbeat with the waits

  # Guards against claiming the term of a scheduler whose heartbeats are late because
  # the store is slow.
  Scenario: A slow store delays a claim
    Given a store with a response time of 0.24 s
    And a node that got a heartbeat 1.5 s ago, connected to the store 60 s ago and read it 0.3 s ago
    And the term's holder is other
    Then the node does not claim the next term

  # Guards against claiming the term of a scheduler whose heartbeats wait in the queue of
  # a slow store, as all appends do. The claim would wait there, too.
  Scenario Outline: Slow appends delay a claim
    Given a store whose appends take <append> s
    And a node that got a heartbeat <silent> s ago, connected to the store 60 s ago and read it 0.3 s ago
    And the term's holder is other
    Then the node <claims> the next term

    Examples:
      | append | silent | claims         |
      | 0.0    | 1.2    | claims         |
      | 0.02   | 1.25   | claims         |
      | 0.6    | 1.5    | does not claim |
      | 1.2    | 3.0    | does not claim |
      | 1.2    | 3.7    | claims         |

  # Guards against electing the smallest instance as scheduler while larger ones are
  # available.
  Scenario: Larger instances claim before smaller ones
    Then instances of 2.15, 1.07 and 0.52 cores claim in this order

  # Guards against a scheduler that stays on a small instance because that one started a
  # little earlier than the large ones.
  Scenario: The first term goes to a large instance that starts 0.3 s later
    Given a small and a large instance, of which the large one starts 0.3 s later
    Then the large one claims the first term before the small one

  # Guards against over a second without a scheduler after each graceful stop. Nodes that
  # follow the ledger ignored the release, and claimed only when heartbeats were missing.
  Scenario: A released term is claimed without waiting for missing heartbeats
    Given a scheduler b whose last heartbeat is 0.2 s old
    When b releases its term
    Then node a claims the next term after its claim delay

  # Guards against a term that ends because of the release of another claim, or that
  # continues because a renewal took effect after the release.
  Scenario Outline: Only the holder's release ends a term, and it is final
    Given a ledger in which b holds term 3 with nonce 5
    When the ledger gets term <number> of <holder> with nonce <nonce>
    And the ledger gets the renewal of term 3 of b with nonce 5 again
    Then the term in the ledger is <result>

    Examples:
      | number | holder | nonce | result                |
      | 3      | nobody | 5     | 3, nobody and nonce 5 |
      | 3      | nobody | 6     | 3, b and nonce 5      |
      | 2      | nobody | 5     | 3, b and nonce 5      |
      | 3      | c      | 5     | 3, b and nonce 5      |
      | 4      | c      | 6     | 4, c and nonce 6      |

  # Guards against orders that are sent twice around a release: the successor acts at
  # once, while an order of the scheduler that stops is still on its way.
  Scenario: A term is released only when its orders to instances have been answered
    Given a scheduler a whose order to move an instance is not answered for 0.8 s
    When a is stopped gracefully
    Then the release is written after the answer
    And no order is sent after the release

  # Guards against a release that waits for a moment without a commit: while work arrives,
  # each commit is followed by the next one in the same step.
  Scenario: A term is released although commits follow each other
    Given a scheduler a whose appends take 0.05 s, and jobs that arrive every 0.01 s
    When a is stopped gracefully after 1 s, with 4.5 s for it
    Then the newest record of the term is its release

  # Guards against a release that the store answers as it answered an earlier append: a
  # sequence number was used again after an append whose answer was lost.
  Scenario Outline: A release after an append without an answer is stored
    Given a scheduler's log in which the answer to an append is lost <times> times
    When the release of the term is appended to it
    Then the store has both, in this order

    Examples:
      | times |
      | 1     |
      | 3     |

  # Guards against a term that a process claims while it stops, and ends with.
  Scenario Outline: A claim that is under way at a stop leaves no term behind
    Given a node a whose claim the store carries out after <delay> s
    When a is stopped gracefully <stopped> s after the claim
    Then no record says that a holds the newest term

    Examples:
      | delay | stopped |
      | 0.1   | 0.05    |
      | 1     | 0.3     |
      | 2     | 0.3     |
      | 3     | 0.3     |
      | 4     | 0.3     |

  # Guards against a stop that waits for its deadline although the release is stored.
  Scenario: A release that is answered late is known from the ledger
    Given a scheduler a whose store answers after 1 s from now on
    When a is stopped gracefully with 4.5 s for it
    Then its stop takes at most 2 s

  # Guards against tasks that run twice: a successor takes a released term's scheduler for
  # ended, and with it the silent one before, which may grant leases for 2 s.
  Scenario: A term that was taken from a silent scheduler is not released at once
    Given a scheduler b whose last heartbeat is 1.3 s old
    When node a claims the next term
    And a is stopped gracefully at once
    Then the release is written 2 s after that heartbeat, or later

  # Guards against the same for a claim that was won and not begun.
  Scenario: A claim after a silent scheduler is not released if its term has not begun
    Given a scheduler b whose last heartbeat is 1.3 s old
    And the partition of runs can't be claimed
    When node a claims the next term, and is stopped gracefully
    Then the ledger has no release of the term

  # Guards against a release that overtakes an order of the term: a scheduler that ended its
  # term by itself has dropped its state.
  Scenario: A term that ended early is released only when its orders have been answered
    Given a scheduler a whose order to move an instance is not answered for 0.8 s
    When a ends its term after an unexpected exception and is stopped gracefully
    Then the release is written after the answer
    And no order is sent after the release

  # Guards against a release of a term that nobody has claimed.
  Scenario: A node that is stopped before it has claimed a term appends nothing
    Given a node a that has claimed no term
    When a is stopped gracefully before its first claim
    Then the store has no record of a term

  # Guards against a first term that goes to any instance, since the delays that let
  # large ones claim first had passed before the first manifest arrived at all nodes.
  Scenario: The first term goes to a large instance when all get the first manifest at once
    Given a small and a large instance that get the first manifest 5 s after they have read the ledger
    Then the large one claims the first term before the small one

  # Guards against a job whose tasks are stopped and never run again: the node that takes
  # the term does not know it.
  Scenario: A node whose ledger lacks a job that has runs reads it again
    Given a scheduler b whose last heartbeat is 1.3 s old
    And a lasting job that runs, whose record node a has missed
    When node a claims the next term
    Then node a schedules the job

  # Guards against nodes that claim a term which another one has just claimed: each such
  # claim is an append, and nearly a hundred nodes see a release at once.
  Scenario Outline: A node reads to the end of the ledger before it claims
    Given a scheduler b whose last heartbeat is 2 s old
    And <record> is in the ledger, unread by node a
    When node a finds that it should claim
    Then the ledger has <claims> claims of node a

    Examples:
      | record           | claims |
      | a claim of c     | 0      |
      | a heartbeat of b | 0      |
      | a release of b   | 1      |
      | nothing          | 1      |

  # Guards against a permission that has run out: a node that was paused after its claim
  # ordered instances and granted leases as if it had claimed just now, though others may
  # have claimed the term after it.
  Scenario Outline: A node that was paused after its claim acts only after a commit
    Given a node that is paused for <pause> s after the store has taken its claim
    Then it <orders> instances, and it <grants> leases, before its first commit
    And after its first commit it may do both

    Examples:
      | pause | orders        | grants        |
      | 0.1   | may order     | may grant     |
      | 1.2   | may not order | may grant     |
      | 2.5   | may not order | may not grant |
      | 10    | may not order | may not grant |

  # Guards against a small node that schedules because it read the last heartbeat up to
  # 0.25 s before the large ones did, while they have 0.22 s less to wait.
  Scenario Outline: A small node waits for larger ones that read the last heartbeat later
    Given a node of <cores> cores that got a heartbeat <age> s ago
    And the largest node in the ledger has <largest> cores
    Then the node <claims> the next term

    Examples:
      | cores | largest | age  | claims         |
      | 2.15  | 2.15    | 1.2  | claims         |
      | 0.52  | 2.15    | 1.6  | does not claim |
      | 0.52  | 2.15    | 1.9  | claims         |
      | 0.52  | 0.52    | 1.2  | claims         |
      | 1.07  | 1.07    | 1.2  | claims         |
      | 1.07  | 2.15    | 1.45 | does not claim |

  # Guards against a day that a small node schedules to its end, since all large ones
  # were away for a moment.
  Scenario Outline: A scheduler hands its term over to a larger node that answers
    Given a scheduler of <cores> cores, and a node of 2.15 cores that <answers>
    When 4 s have passed with the scheduler
    Then the term <ends>

    Examples:
      | cores | answers         | ends                   |
      | 0.52  | answers         | was released once      |
      | 0.52  | does not answer | is held by the first   |
      | 2.15  | answers         | is held by the first   |

  # Guards against a gap in which nobody schedules: a release waits until the orders of
  # an earlier scheduler have expired.
  Scenario: A term is not handed over before orders of an earlier scheduler have expired
    Given a scheduler of 0.52 cores, and a node of 2.15 cores that answers
    And orders of an earlier scheduler that expire in 6 s
    When 4 s have passed with the scheduler
    Then the term is held by the first

  # Guards against a term that nobody takes: a slow store carried a claim out after its
  # node had given it up, and refused those of all other nodes meanwhile.
  Scenario Outline: A claim that waits in the store is won by its node
    Given a store in which a claim waits for <wait> s
    When node a claims the next term there
    Then it schedules after at most <by> s

    Examples:
      | wait | by  |
      | 0.1  | 0.3 |
      | 0.9  | 1.2 |
      | 1.9  | 2.3 |

  # Guards against claims that fill the queue of a slow store: it refuses them as long
  # as the claim that came first waits there.
  Scenario: A node whose claim was refused waits for the record of the first claim
    Given a store in which a claim waits for 3 s
    When node c claims the next term there, and node a watches it
    Then node a has claimed at most twice in 3 s
