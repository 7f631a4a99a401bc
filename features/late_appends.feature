Feature: A job whose append has no answer is cancelled for good
  The store may carry out an append seconds after it was sent, although no answer came.
  The node that sent it then knows neither that the job exists nor that it does not, and
  other nodes, or the same one after a restart, know nothing of it.

  # Guards against a cancelling that is acknowledged because the ledger lacks the job,
  # while its append is under way: all of its occurrences ran later.
  Scenario Outline: A job that is cancelled <when> never runs
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and gets no answer in time
    And it is cancelled <when>
    Then the cancelling is acknowledged
    When the store carries out the append
    Then both nodes show the job as cancelled
    And no scheduler starts it, neither the present one nor a successor

    Examples:
      | when                           |
      | at the same node               |
      | at the other node              |
      | after the node has restarted   |
      | twice, at both nodes           |

  # Guards against the same while the caller's first request still waits.
  Scenario: A job that is cancelled while its submission waits never runs
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and cancelled there before it is answered
    Then the cancelling is acknowledged
    When the store carries out the append
    Then both nodes show the job as cancelled
    And no scheduler starts it, neither the present one nor a successor

  # Guards against an acknowledgement of a cancelling that is not stored.
  Scenario: A cancelling without an answer of the store is not acknowledged
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and gets no answer in time
    And the store answers no append, and it is cancelled at the same node
    Then the cancelling is not acknowledged

  # Guards against a repeated request that revives a job after its cancelling.
  Scenario Outline: A repeated submission <when> does not revive a cancelled job
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and gets no answer in time
    And it is cancelled at the other node
    And the job is submitted again at node <node> <when>
    Then that is not accepted, as it never runs
    When the store carries out the append
    Then both nodes show the job as cancelled
    And no scheduler starts it, neither the present one nor a successor

    Examples:
      | node | when                          |
      | 2    | at once                       |
      | 1    | once it has read the ledger   |

  # Guards against "there is none" from a node whose own append has no outcome.
  Scenario: The node that sent an append without an answer does not deny the job
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and gets no answer in time
    Then node 1 can't tell whether the job exists
    When the store carries out the append
    Then node 1 shows the job as queued
    And node 2 shows the job as queued

  # Guards against a promise that a job never runs, given while an earlier append of it
  # has no outcome.
  Scenario Outline: A repeat that <obstacle> gets no promise that the job never runs
    Given two nodes and a store that carries out the append of a job late
    When the job is submitted at node 1 and gets no answer in time
    And it is repeated at node 1 while it <obstacle>
    Then its outcome is unknown

    Examples:
      | obstacle                      |
      | can't be served in time       |
      | is refused by the store       |

  # Guards against answers to requests for jobs that nobody has ever submitted.
  Scenario: A job that does not exist is denied, also when it is cancelled
    Given two nodes and a store that carries out the append of a job late
    Then node 2 denies that the job exists
    When it is cancelled at the other node
    Then the cancelling is acknowledged
    And node 2 denies that the job exists

  # Guards against a ledger that grows with each cancelling of an unknown job.
  Scenario Outline: The cancelling of an unknown job is removed after its retention
    Given a scheduler that has read the cancelling of an unknown job <how>
    When <seconds> seconds have passed
    Then the ledger <holds> the cancelling

    Examples:
      | how                     | seconds | holds         |
      | during its term         | 170     | still has     |
      | during its term         | 185     | does not have |
      | before its term         | 185     | does not have |

  # Guards against a scheduler that reads a truncated ledger, in the order of its keys.
  Scenario: A cancelling that is read before its job counts
    Given a ledger whose newest records are read in the order of their keys
    When a scheduler reads the cancelling of a job, and the job after it
    Then no scheduler starts it, neither the present one nor a successor
