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

  # Guards against commits that follow each other for as long as work arrives, so that the
  # process ends with its term and the next scheduler has to wait for a silence.
  Scenario: The term is released under load
    Given a node that holds the term, with a grace period of 3 s
    When it is stopped while jobs are submitted and cancelled through other nodes
    Then the term is released within 1.5 s
    And the process ends by itself in time
