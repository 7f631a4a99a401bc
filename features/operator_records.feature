Feature: Operators' records have an effect, or a log line says that they have none

  # Guards against an operator's request that the store has confirmed and that nothing acts
  # on, without a trace in the log. A change is reported once by each node, not by each
  # read.
  Scenario Outline: A record under an unknown key
    Given 2 nodes with large links, 0 with small ones and 5 queues
    When the operator writes the record <key> at 2 s
    And the operator deletes the record <key> at 6 s
    And 10 s have passed
    Then each node has logged and counted 2 changes of <logged>

    Examples:
      | key         | logged      |
      | drain/hall  | drain/hall  |
      | evacuate/   | evacuate/   |
      | evacuations | evacuations |

  # Guards against a request that is confirmed and does not reach the scheduler, and against
  # one that a node which was cut off still has in force after its cancellation, since the
  # store keeps no trace of it.
  Scenario Outline: An evacuation reaches every node, and its cancellation as well
    Given 2 nodes with large links, 2 with small ones and 50 queues
    And 1 small nodes are cut off from the store from 2 to 14 s, mode silent
    And 1 large nodes are cut off from the store from 5 to 12 s, mode reset
    When the operator writes the record evacuate/<zone> at 3 s
    And 5 s have passed
    Then 4 nodes have the evacuation of <zone> in force
    When the operator deletes the record evacuate/<zone> at 8 s
    And the store compacts the operators' records at 9 s
    And 16 s have passed
    Then 0 nodes have the evacuation of <zone> in force
    And no record was reported as unknown

    Examples:
      | zone        |
      | hall        |
      | "a/b"\t{}é✗ |

  # Guards against a queued start order that is sent after the request, and against the
  # task staying where it is not to start.
  Scenario: A start order waits for its turn when the request comes
    Given a scheduler whose endpoint in data centre b has 3 orders under way
    And 2 start orders that wait for their turn
    When the evacuation of data centre b reaches the scheduler
    And the orders under way are answered
    Then 3 start orders have been sent
    And the tasks of the other 2 wait

  # Guards against a successor that places tasks before it knows of the request.
  Scenario Outline: A node reads the operators' records before it claims the term
    Given a node without a term whose operators' records are <read>
    When it claims the next term
    Then its claim is <claim>

    Examples:
      | read                                  | claim                          |
      | read after 0.5 s, with an evacuation  | made, and the evacuation known |
      | not read                              | not made                       |

  # Guards against a deployment without a scheduler while the store refuses one partition.
  Scenario: Records that can't be read delay a claim for 2 s and no longer
    Given a node without a term whose operators' records are not read
    When it claims the next term again and again for 2.5 s
    Then it has claimed the term between 2 and 2.5 s after the first attempt

  # Guards against records that count as read before their effect, against a wait without
  # end for a store that does not answer, and against a node that never catches up with
  # records that are written faster than it reads them.
  Scenario Outline: The newest records of operators are waited for
    Given a store whose reads miss changes for 0.8 s and that <answers>
    And records of operators that were confirmed <age> s ago
    When a record is written and a node waits 2 s for the newest ones
    Then they are <result> within <seconds> s

    Examples:
      | answers                | age | result      | seconds |
      | answers                | 3   | applied     | 0.9     |
      | answers no read at all | 3   | not applied | 2.1     |
      | answers no read at all | 1   | current     | 0.4     |
      | does not answer        | 3   | not applied | 2.1     |
      | does not answer        | 1   | current     | 0.7     |
