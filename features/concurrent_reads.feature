Feature: Concurrent reads of the ledger lose no record
  A node reads the ledger in a loop, and once more for each caller who asks for a job that
  it does not know. The answers may overtake each other.

  # Guards against a node that answers 410 for accepted jobs for good: after the store had
  # forgotten its history, the newest records were cut like a page of the log.
  Scenario: The history is forgotten while two reads are under way
    Given a ledger of jobs 0 to 9, of which a node has read 0 to 3
    And the store has forgotten its history
    When the node begins two reads
    And the first one is answered
    And jobs 10 to 12 are accepted
    And the second one is answered
    Then the node knows all jobs

  # Guards against the same, and against older states, in any order of calls and answers.
  Scenario: Reads, appends and losses of history in generated orders
    Given generated orders of 40 steps with seeds 0 to 299
    When each of them is played, and the node has read to the end
    Then the node knows all jobs in their newest state, in each of them
