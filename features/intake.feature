Feature: Callers are told the truth about their jobs
  A node with a store that fails on demand.

  # Guards against a job that is told accepted and is not stored.
  Scenario: A job is accepted when the store has answered
    Given a job intake and a store
    When job j1 is submitted with 2 seconds of time
    Then the reply is accepted
    And the store has job j1

  # Guards against "not run" while the store may still hold the append.
  Scenario: An append without an answer is never told as not accepted
    Given a job intake and a store
    And the store does appends without answering, then refuses
    When job j1 is submitted with 1 seconds of time
    Then the reply is unknown

  # Guards against a lost answer that makes a caller try for nothing.
  Scenario: An append without an answer is repeated
    Given a job intake and a store
    And the store answers only the second append
    When job j1 is submitted with 5 seconds of time
    Then the reply is accepted

  # Guards against holding callers when nothing can be accepted.
  Scenario: A store that refuses is told at once
    Given a job intake and a store
    And the store refuses
    When job j1 is submitted with 5 seconds of time
    Then the reply is not_accepted

  # Guards against an append that takes longer than its time on a link of 5 Mbit/s, or
  # that is larger than a message between nodes may be: 1.6 MB waited after an outage.
  Scenario: Many jobs that wait are appended in parts
    Given a job intake and a store
    When 400 jobs of 4000 bytes are submitted at once
    Then the store has 400 jobs
    And no append took more than 1 s at 5 Mbit/s

  # Guards against two jobs when the same id comes twice at the same time.
  Scenario: A repeat joins the first
    Given a job intake and a store
    When job j1 is submitted twice at once
    Then both replies are accepted
    And the store was asked once

  # Guards against 410 from a node that lags behind.
  Scenario: A job that another node accepted is found
    Given a job intake and a store
    And another node has stored job j2
    When job j2 is looked for
    Then it is found
    When job j3 is looked for
    Then the answer is no_such_job

  # Guards against 410 from a node that can't read the store.
  Scenario: Nothing is denied while the store can't be read
    Given a job intake and a store
    And the store refuses
    When job j3 is looked for
    Then the answer is unavailable

  # Guards against a request that is given to a queue of another host or a shorter prefix.
  Scenario Outline: The longest prefix on the same host chooses the queue
    Given queues a at h/x/, b at h/x/y/ and c at i/x/y/
    Then a request for <path> at <host> goes to <queue>

    Examples:
      | host | path    | queue   |
      | h    | /x/1    | a       |
      | h    | /x/y/1  | b       |
      | i    | /x/y/1  | c       |
      | i    | /x/1    | nothing |
      | h    | /x      | nothing |
