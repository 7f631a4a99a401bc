Feature: Callers get correct replies about their jobs
  A node with a store that fails on demand.

  # Guards against reporting a job as accepted that is not stored.
  Scenario: A job is accepted when the store has responded
    Given a job intake and a store
    When job j1 is submitted with a deadline in 2 seconds
    Then the reply is accepted
    And the store has job j1

  # Guards against reporting a job as not run while the store may still have the append.
  Scenario: An append without a response is never reported as not accepted
    Given a job intake and a store
    And the store performs one append without a response, then refuses
    When job j1 is submitted with a deadline in 1 seconds
    Then the reply is unknown

  # Guards against a lost response that makes the caller repeat a job which the store
  # already has.
  Scenario: An append without a response is repeated
    Given a job intake and a store
    And the store responds only to the second append
    When job j1 is submitted with a deadline in 5 seconds
    Then the reply is accepted

  # Guards against keeping callers waiting while no job can be accepted.
  Scenario: A refusal by the store is reported at once
    Given a job intake and a store
    And the store refuses
    When job j1 is submitted with a deadline in 5 seconds
    Then the reply is not_accepted

  # Guards against an append that exceeds its deadline on a link of 5 Mbit/s, or the
  # size limit of a message between nodes: 1.6 MB were waiting after an outage.
  Scenario: Many waiting jobs are appended in batches
    Given a job intake and a store
    When 400 jobs of 4000 bytes are submitted at once
    Then the store has 400 jobs
    And no append took more than 1 s at 5 Mbit/s

  # Guards against a caller that repeats, without end, a job that can't be stored.
  Scenario Outline: A job that is too large for a record is refused with the limit
    Given a job intake and a store
    When a job with a payload of <size> bytes is submitted over HTTP
    Then the response has status <status>
    And the store has <stored> jobs

    Examples:
      | size   | status | stored |
      | 261900 | 200    | 1      |
      | 262144 | 413    | 0      |

  # Guards against jobs that are refused because of another one of the same append.
  Scenario: The store rejects one job among many
    Given a job intake and a store
    And the store rejects an append that has job j42
    When 100 jobs of 40 bytes are submitted at once
    Then the store has 99 jobs
    And all jobs but j42 are accepted, and that one is invalid

  # Guards against creating two jobs when the same id is submitted twice at the same
  # time.
  Scenario: A repeated submission joins the first
    Given a job intake and a store
    When job j1 is submitted twice at once
    Then both replies are accepted
    And the store got one append

  # Guards against a 410 response from a node whose copy of the ledger lags behind.
  Scenario: A job that another node accepted is found
    Given a job intake and a store
    And another node has stored job j2
    When job j2 is looked up
    Then the job is found
    When job j3 is looked up
    Then the lookup returns no_such_job

  # Guards against a 410 response from a node that can't read the store.
  Scenario: No job is reported as missing while the store can't be read
    Given a job intake and a store
    And the store refuses
    When job j3 is looked up
    Then the lookup returns unavailable

  # Guards against routing a request to a queue of another host or with a shorter
  # prefix.
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

  # Guards against "not accepted" for a submission that the store may have: the end of the
  # process interrupted it after its outcome was known and before it was answered.
  Scenario Outline: A submission that the end of the process interrupts may have been stored
    Given a job intake and a store
    And the store does not answer
    When a job is submitted over HTTP, and the loop stalls in iteration <iteration> of the end of the process
    Then the response has status 504

    Examples: iterations
      | iteration |
      | 0         |
      | 1         |
      | 2         |
      | 3         |
