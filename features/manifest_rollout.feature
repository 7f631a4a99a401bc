Feature: A confirmed manifest is in force on time
  Complete nodes on slow links, the stand-in of the store and callers, in virtual time. A
  queue of a version that was confirmed 3 s ago, or 9 s ago while the store refuses
  nodes, is served by every node that has been connected for 4 s.

  # Guards against nodes whose reads through other nodes end by a fixed timeout while a
  # manifest of 384 KB is transferred over a link of 5 Mbit/s, and against relays that
  # respond late.
  Scenario: Nodes cut off with resets, versions 1.5 s apart
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 21 s
    And 4 small nodes are cut off from the store from 2 to 16 s, mode reset
    When 30 s have passed
    Then no node was late with a version

  # Guards against a probe that waits behind a backlog when the store is available
  # again.
  Scenario: Nodes cut off without resets, versions 0.3 s apart
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.3 s from 3 to 18 s
    And 4 small nodes are cut off from the store from 2 to 16 s, mode silent
    When 28 s have passed
    Then no node was late with a version

  # Guards against a probe that reads records: after 14 s of writes they took longer
  # than the timeout of the probe. The bound is the interval between two probes plus the
  # timeout of one.
  Scenario: Nodes use the store 1.2 s after its return, however much was written meanwhile
    Given 6 nodes with large links, 4 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 12 s
    And jobs of 3000 KB are accepted from 2 to 16 s
    And 2 small nodes are cut off from the store from 2 to 16 s, mode reset
    When 17.2 s have passed
    Then all nodes use the store directly

  # Guards against requesting a response of 512 KB again and again, because over an
  # impaired link it takes longer than a call through another node may take.
  Scenario: A refused node catches up with a long ledger
    Given 1 nodes with large links, 7 with small ones and 50 queues
    And jobs of 1000 KB are accepted from 3 to 7 s
    And a node with 2 Mbit/s is cut off from 2 to 20 s, frozen from 3 to 8 s
    When 16 s have passed
    Then all nodes have read the ledger to its end

  # Guards against discarding a response after 8 s although its parts are still
  # arriving.
  Scenario: A refused node reads all newest records over an impaired link
    Given 6 nodes with large links, 2 with small ones and 50 queues
    And jobs of 2400 KB are accepted from 3 to 7 s
    And a node with 2 Mbit/s is cut off from 2 to 40 s, frozen from 3 to 8 s
    And the store truncates its history at 7.5 s
    When 28 s have passed
    Then all nodes have read the ledger to its end

  # Guards against unhandled errors when many nodes disconnect and reconnect.
  Scenario: Nodes are isolated while others are restarted
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.5 s from 3 to 24 s
    And 5 small nodes are isolated from 5 to 9 s
    And 2 large nodes are restarted from 8 to 10 s
    When 30 s have passed
    Then no node was late with a version

  # Guards against a startup that begins again for ever: all pages together had a limit
  # of 6 s.
  Scenario: A restarted node reads a ledger that takes longer than one call may take
    Given 3 nodes with large links, 3 with small ones and 50 queues
    And jobs of 4500 KB are accepted from 1 to 9 s
    And 1 small nodes are restarted from 10 to 11 s
    When 26 s have passed
    Then all nodes are ready

  # Guards against refused nodes that get no version at all while other nodes have it.
  Scenario: The store refuses a third of the nodes, twice
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.6 s from 3 to 24 s
    And the store refuses 4 small nodes from 2 to 11 s, mode reset
    And the store refuses 4 small nodes from 15 to 19 s, mode busy
    When 36 s have passed
    Then no node was late with a version

  # Guards against relying on nodes that have not yet detected that they have lost the
  # store.
  Scenario: All nodes with large links are cut off without resets
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 21 s
    And 3 large nodes are cut off from the store from 6 to 14 s, mode silent
    When 30 s have passed
    Then no node was late with a version

  # Guards against reading version after version where only the newest one matters.
  Scenario: Versions 0.08 s apart, all nodes connected
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.08 s from 3 to 11 s
    When 18 s have passed
    Then no node was late with a version

  # Guards against reads that start over whenever a node reconnects.
  Scenario: Nodes are restarted and frozen, and the store truncates its history
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.3 s from 3 to 20 s
    And 2 small nodes are restarted from 5 to 6 s
    And 2 small nodes are frozen from 6 to 10 s
    And 2 small nodes are cut off from the store from 8 to 12 s, mode reset
    And the store truncates its history at 14 s
    When 28 s have passed
    Then no node was late with a version

  # Guards against applying a manifest that can't be decoded.
  Scenario: A manifest that can't be decoded changes nothing
    Given 1 nodes with large links, 2 with small ones and 50 queues
    And an undecodable manifest is written at 4 s
    And versions are confirmed every 1 s from 6 to 8 s
    When 14 s have passed
    Then no node was late with a version
    And no node applied the undecodable manifest

  # Guards against applying an older version that arrives later, from the store or from
  # another node.
  Scenario: No node goes back to an older version
    Given 2 nodes with large links, 4 with small ones and 1750 queues
    And versions are confirmed every 0.6 s from 3 to 9 s
    And 2 small nodes are cut off from the store from 2 to 8 s, mode reset
    And version 2 is written again at 11 s
    When 16 s have passed
    Then no node was late with a version

  # Guards against a node that accepts records garbled by another node, or that runs out
  # of memory on them.
  Scenario Outline: Packed records that are <fault> are rejected
    Given packed records of 200 KB
    When they are <fault>
    Then they can't be unpacked

    Examples:
      | fault     |
      | cut short |
      | altered   |
      | too large |
      | no rows   |

  # Guards against the response "no such queue" from a node that can't know because it
  # receives nothing from any other.
  Scenario: An isolated node does not deny a queue that has been confirmed meanwhile
    Given 2 nodes with large links, 2 with small ones and 50 queues
    And versions are confirmed every 1 s from 3 to 12 s
    And 1 small nodes are isolated from 4 to 20 s
    When 14 s have passed
    Then the isolated node answers 503 for the newest queue
    When 26 s have passed
    Then the isolated node answers 200 for the newest queue
    And the isolated node answers 404 for a queue that never existed

  # Guards against a node that asks one node after the other, without an answer from any,
  # before it reads a version from the store.
  Scenario: Nodes that reach the store, but no other node
    Given 3 nodes with large links, 3 with small ones and 1750 queues
    And versions are confirmed every 4 s from 6 to 20 s
    And 3 small nodes are cut off from all other nodes from 4.6 to 22 s
    When 30 s have passed
    Then no node was late with a version

  # Guards against a restarted node that uses a queue or key again that its earlier
  # process had seen withdrawn: the store turns it away while it starts, and all other
  # nodes have been cut off from the store since before the withdrawal.
  Scenario: A restarted node uses no records from before its earlier process ended
    Given 3 nodes with large links, 1 with small ones and 1750 queues
    And 3 large nodes are cut off from the store from 5 to 19 s, mode silent
    And queue base00000 is withdrawn at 6 s
    And 1 small nodes are cut off from all other nodes from 5.6 to 10.6 s
    And 1 small nodes are restarted from 10 to 10.2 s, and refused from 10.6 to 17 s
    When 9.5 s have passed
    Then the restarted node answers 404 for queue base00000
    When 13 s have passed
    Then the restarted node answers 503 for queue base00000
    When 25 s have passed
    Then the restarted node answers 404 for queue base00000
    And the restarted node answers 200 for queue base00001

  # Guards against a change that costs a node more traffic than the target allows: 940
  # changes a day at 3 KB/s.
  Scenario: A change costs a node with a small link a limited number of bytes
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 4 s from 6 to 26 s
    When 30 s have passed
    Then a small node received at most 275744 bytes for each version

  # Guards against callers that are sent for seconds to nodes of a zone which is cut off:
  # the platform sends them to other zones only when no node of this one is ready.
  Scenario: A node that can store nothing is not ready, and one that others help is
    Given 3 nodes with large links, 2 with small ones and 50 queues
    And 1 small nodes are isolated from 6 to 11 s
    And 1 small nodes are cut off from the store from 6 to 11 s, mode silent
    When 7.6 s have passed
    Then the isolated node is not ready
    And the other nodes are ready
    When 10.9 s have passed
    Then the isolated node is not ready
    And the other nodes are ready
    When 12.6 s have passed
    Then all nodes are ready
