Feature: A confirmed manifest is in force on time
  Whole nodes on slow links, the stand-in of the store and callers, in virtual time. A
  queue of a version that was confirmed 3 s ago, or 9 s while the store turns nodes
  away, is served by every node that was in touch for 4 s.

  # Guards against nodes whose readings through others end by a fixed time-out, with a
  # manifest of 384 KB on a link of 5 Mbit/s, and against late helpers.
  Scenario: Nodes cut off with resets, versions 1.5 s apart
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 21 s
    And 4 small nodes are cut off the store from 2 to 16 s by reset
    When 30 s have passed
    Then no node was late with a version

  # Guards against a probe that waits for a backlog when the store is back.
  Scenario: Nodes cut off silently, versions 0.3 s apart
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.3 s from 3 to 18 s
    And 4 small nodes are cut off the store from 2 to 16 s by silent
    When 28 s have passed
    Then no node was late with a version

  # Guards against a probe that reads records: after 14 s they took longer than its time.
  # The bound is the pause between two probes and the time for one.
  Scenario: Nodes use the store 1.2 s after its return, whatever has been written meanwhile
    Given 6 nodes with large links, 4 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 12 s
    And jobs of 3000 KB are accepted from 2 to 16 s
    And 2 small nodes are cut off the store from 2 to 16 s by reset
    When 17.2 s have passed
    Then all nodes use the store themselves

  # Guards against an answer of 512 KB that is asked for again and again, since it takes
  # longer on a harmed link than a call through another node may.
  Scenario: A node that is turned away catches up with a long ledger
    Given 1 nodes with large links, 7 with small ones and 50 queues
    And jobs of 1000 KB are accepted from 3 to 7 s
    And a node with 2 Mbit/s is cut off from 2 to 20 s, frozen from 3 to 8 s
    When 16 s have passed
    Then all nodes have read the ledger to its end

  # Guards against an answer that is thrown away after 8 s though its parts come.
  Scenario: A node that is turned away reads all newest records over a harmed link
    Given 6 nodes with large links, 2 with small ones and 50 queues
    And jobs of 2400 KB are accepted from 3 to 7 s
    And a node with 2 Mbit/s is cut off from 2 to 40 s, frozen from 3 to 8 s
    And the store forgets its history at 7.5 s
    When 28 s have passed
    Then all nodes have read the ledger to its end

  # Guards against errors that nobody takes note of, when many nodes come and go.
  Scenario: Nodes are isolated while others are restarted
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.5 s from 3 to 24 s
    And 5 small nodes are isolated from 5 to 9 s
    And 2 large nodes are restarted from 8 to 10 s
    When 30 s have passed
    Then no node was late with a version

  # Guards against a start that begins anew for ever: all pages together had 6 s.
  Scenario: A node that is restarted reads a ledger that takes longer than one call may
    Given 3 nodes with large links, 3 with small ones and 50 queues
    And jobs of 4500 KB are accepted from 1 to 9 s
    And 1 small nodes are restarted from 10 to 11 s
    When 26 s have passed
    Then all nodes are ready

  # Guards against refused nodes that get no version at all while others have it.
  Scenario: The store turns a third of the nodes away, twice
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.6 s from 3 to 24 s
    And the store turns 4 small nodes away from 2 to 11 s by reset
    And the store turns 4 small nodes away from 15 to 19 s by busy
    When 36 s have passed
    Then no node was late with a version

  # Guards against trusting nodes that don't know yet that they have lost the store.
  Scenario: All nodes with large links are cut off silently
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 1.5 s from 3 to 21 s
    And 3 large nodes are cut off the store from 6 to 14 s by silent
    When 30 s have passed
    Then no node was late with a version

  # Guards against reading version after version where only the newest one counts.
  Scenario: Versions 0.08 s apart, all nodes connected
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.08 s from 3 to 11 s
    When 18 s have passed
    Then no node was late with a version

  # Guards against readings that start over whenever a node comes back.
  Scenario: Nodes are restarted and frozen, and the store forgets its history
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 0.3 s from 3 to 20 s
    And 2 small nodes are restarted from 5 to 6 s
    And 2 small nodes are frozen from 6 to 10 s
    And 2 small nodes are cut off the store from 8 to 12 s by reset
    And the store forgets its history at 14 s
    When 28 s have passed
    Then no node was late with a version

  # Guards against a manifest that can't be read, and is taken all the same.
  Scenario: A manifest that can't be read changes nothing
    Given 1 nodes with large links, 2 with small ones and 50 queues
    And an unreadable manifest is written at 4 s
    And versions are confirmed every 1 s from 6 to 8 s
    When 14 s have passed
    Then no node was late with a version
    And no node took the unreadable manifest

  # Guards against an older version that comes later, from the store or another node.
  Scenario: No node goes back to an older version
    Given 2 nodes with large links, 4 with small ones and 1750 queues
    And versions are confirmed every 0.6 s from 3 to 9 s
    And 2 small nodes are cut off the store from 2 to 8 s by reset
    And version 2 is written again at 11 s
    When 16 s have passed
    Then no node was late with a version

  # Guards against a node that takes what another one garbled, or fills its memory.
  Scenario Outline: Packed records that are <fault> are refused
    Given packed records of 200 KB
    When they are <fault>
    Then they can't be unpacked

    Examples:
      | fault     |
      | cut short |
      | altered   |
      | too large |
      | no rows   |

  # Guards against "no such queue" from a node that can't know: it hears from nobody.
  Scenario: An isolated node does not deny a queue that has been confirmed meanwhile
    Given 2 nodes with large links, 2 with small ones and 50 queues
    And versions are confirmed every 1 s from 3 to 12 s
    And 1 small nodes are isolated from 4 to 20 s
    When 14 s have passed
    Then the isolated node answers 503 for the newest queue
    When 26 s have passed
    Then the isolated node answers 200 for the newest queue
    And the isolated node answers 404 for a queue that never existed

  # Guards against a change that costs a node more than the target allows: 940 changes a
  # day at 3 KB/s.
  Scenario: What a change costs a node with a small link
    Given 3 nodes with large links, 9 with small ones and 1750 queues
    And versions are confirmed every 4 s from 6 to 26 s
    When 30 s have passed
    Then a small node received at most 275744 bytes for a version
