Feature: A process that is stopped answers every request that it has read

  A node runs as a process of its own, with real sockets and signals. It gets SIGTERM, and
  SIGKILL after its grace period. Each complete request that it has read gets one true
  answer before it ends: after 2xx the store has the job, after 429 and 503 it never gets
  it, and 504 leaves that open. The process ends by itself. Where it holds no term, the
  records of another scheduler are in the store.

  # Guards against a process that ends while requests are still arriving: it cut bodies
  # that took 0.8 s, half a second after SIGTERM.
  Scenario Outline: Requests that arrive slowly are answered, by a node <role>
    Given a node <role>, with a grace period of <grace_s> s
    When it is stopped while callers take 0.8 s each to send a submission
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | role                    | grace_s |
      | beside the scheduler    | 3       |
      | that holds the term     | 3       |
      | beside the scheduler    | 6       |

  # Guards against a connection that is closed as idle although the first half of a
  # request's head has arrived.
  Scenario: A head that arrives in two parts is answered
    Given a node beside the scheduler, with a grace period of 3 s
    When it is stopped between two parts of the heads of requests
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

  # Guards against pipelined requests that are dropped with the connection once the first
  # of them is answered.
  Scenario Outline: Requests that are sent ahead <moment> the stop are all answered
    Given a node beside the scheduler, with a grace period of 3 s
    When 2 and 5 requests are sent ahead on one connection each just <moment> it is stopped
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: moments
      | moment |
      | before |
      | after  |

  # Guards against a request that is read from a kept-alive connection after SIGTERM, and
  # given up with the connection.
  Scenario Outline: A kept-alive connection is used after the stop of a node <role>
    Given a node <role>, with a grace period of 3 s
    When it is stopped, and kept-alive connections are used 0.1 s later
    Then no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | role                 |
      | beside the scheduler |
      | that holds the term  |

  # Guards against idle connections that are waited for until the grace period is over.
  Scenario: Idle connections don't hold up the end of the process
    Given a node beside the scheduler, with a grace period of 6 s
    When it is stopped while connections are idle
    Then the process ends by itself in half of that time

  # Guards against a request that never arrives whole: it must not hold the process up,
  # nor lose its connection without being told that it doesn't run.
  Scenario: Requests that are never sent whole are refused before the process ends
    Given a node beside the scheduler, with a grace period of 3 s
    When it is stopped while callers don't finish their requests
    Then the unfinished requests are refused with 503
    And the process ends by itself in time

  # Guards against requests that are taken long after SIGTERM and given up at the end of
  # the process.
  Scenario Outline: Requests that keep arriving at a node <role> are answered
    Given a node <role>, with a grace period of 3 s
    When it is stopped, and requests keep arriving until it ends
    Then no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | role                 |
      | beside the scheduler |
      | that holds the term  |

  # Guards against requests that lose their answer because the store is slow: their
  # appends were given up with the process.
  Scenario Outline: Requests wait for a store that takes <delay> s, at a node <role>
    Given a node <role>, with a grace period of 3 s
    When it is stopped while requests wait for a store that answers appends after <delay> s
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | role                 | delay |
      | beside the scheduler | 0.5   |
      | beside the scheduler | 1     |
      | that holds the term  | 0.5   |
      | that holds the term  | 1     |

  # Guards against waiting for a store that never answers until SIGKILL, and against a
  # refusal of what it may have stored.
  Scenario Outline: Requests wait for a store that is silent, at a node <role>
    Given a node <role>, with a grace period of 3 s
    When it is stopped while requests wait for a store that is silent from then on
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | role                 |
      | beside the scheduler |
      | that holds the term  |

  # Guards against answers that are lost to a reset, because the process closes the
  # connection with bytes of the caller unread, or while the caller goes on sending.
  Scenario Outline: A caller that <behaviour> gets its answers
    Given a node beside the scheduler, with a grace period of 6 s
    When it is stopped while a caller with a small buffer <behaviour>
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: callers
      | behaviour                    |
      | reads slowly                 |
      | sends on before it reads     |
      | sends much and reads later   |

  # Guards against a relayed append that is given up by the node that makes it for another
  # one, or by the one that asked for it.
  Scenario Outline: The node that <part> a relayed append is stopped
    Given nodes a and b, of which the store refuses a
    When the node that <part> an append for a caller of a is stopped, and the store takes 0.3 s
    Then the caller of a is told that its submission is accepted
    And no answer is lost or untrue
    And the process ends by itself in time

    Examples: nodes
      | part   |
      | makes  |
      | awaits |

  # Guards against commits that follow each other for as long as work arrives, so that the
  # process ends with its term and the next scheduler has to wait for a silence.
  Scenario Outline: The term is released under load, with <signals> further signals
    Given a node that holds the term, with a grace period of 3 s
    When it is stopped, with <signals> further signals, while jobs are submitted and cancelled through other nodes
    Then the term is released within 1.5 s
    And the process ends by itself in time

    Examples: signals
      | signals |
      | no      |
      | two     |

  # Guards against a claim that the store carries out after its node has ended: the other
  # nodes would wait for a scheduler that doesn't exist.
  Scenario: A node that claims the term leaves none behind
    Given a node beside no other, with a grace period of 6 s
    When it is stopped while the store takes 1 s for its claim of the term
    Then it doesn't hold the term
    And the process ends by itself in time

  # Guards against a second signal that ends the shutdown, or the process, at once.
  Scenario: Further signals don't change the shutdown
    Given a node beside the scheduler, with a grace period of 3 s
    When it is stopped while callers take 0.8 s each, and gets SIGHUP and SIGTERM again
    Then every request is answered
    And no answer is lost or untrue
    And the process ends by itself in time

  # Guards against a signal between the end of the event loop and that of the process,
  # which would end it with another exit code.
  Scenario: Signals until the end of the process don't kill it
    Given a node beside the scheduler, with a grace period of 3 s
    When it is stopped, and gets SIGHUP and SIGTERM again and again until it ends
    Then the process ends by itself in time
