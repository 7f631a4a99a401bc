Feature: A node that the store turns away reaches it through another one
  Nodes a and b know each other; each has a store of its own view, over one ledger.

  # Guards against a scheduler that loses its term, and callers that are sent away, while
  # only this node is refused.
  Scenario: Appends and readings go through the other node
    Given nodes a and b
    When the store turns a away
    And a appends record x
    Then a is told the offset 0
    When a reads from 0
    Then a reads x
    And the ledger holds x once

  # Guards against "not accepted" for a record that the other node may have stored.
  Scenario: An answer that is lost behind the other node is unknown
    Given nodes a and b
    When the store turns a away
    And the store's answers to b are lost
    And a appends record x
    Then a is told that the outcome is unknown

  # Guards against an unknown outcome where nothing was sent, which callers can't repeat.
  Scenario: A refusal by all is a refusal
    Given nodes a and b
    When the store turns a away
    And the store turns b away
    And a appends record x
    Then a is told that nothing was done
    And the ledger holds x 0 times

  # Guards against nodes that stay refused when the store is back.
  Scenario: The store is used directly again when it serves the node
    Given nodes a and b
    When the store turns a away
    And a appends record x
    And the store serves a
    And 0.7 seconds go by
    And b is gone
    And a appends record y
    Then a is told the offset 1

  # Guards against a node that ends because one call is larger than a message may be.
  # The outcome counts as unknown like that of any call that broke off.
  Scenario: An append that is too large for another node ends nothing
    Given nodes a and b
    When the store turns a away
    And a appends 300 records of 4000 bytes in one call
    Then a is told that the outcome is unknown
    When a appends record x
    Then a is told the offset 0

  # Guards against a beaten scheduler that goes on because a peer hides the refusal.
  Scenario: A beaten fence is told through the other node
    Given nodes a and b
    When the store turns a away
    And a higher epoch has appended
    And a appends record x under epoch 1
    Then a is told that its fence is beaten

  # Guards against an unknown outcome when the other node could not even be reached.
  Scenario: A node that is gone makes no outcome unknown
    Given nodes a and b
    When b is gone
    And the store turns a away
    And a appends record x
    Then a is told that nothing was done

  # Guards against a node that ends itself because many others come and go while it is
  # turned away: a connection that one call opens was closed for another one.
  Scenario: Many nodes that do not answer end no call of this node
    Given nodes a and b
    When 20 more nodes are known that are gone
    And the store turns a away
    And the store turns b away
    And a appends 30 records at once
    Then each of the 30 is refused or unknown

  # Guards against an answer without progress or error: the record did not fit.
  Scenario: A record larger than one answer is read through the other node
    Given nodes a and b
    And the ledger has record x of 700 KB
    When the store turns a away
    And a reads from 0
    Then a reads x

  # Guards against a node that falls behind the store's history while it is turned away.
  Scenario: The newest records are read through the other node
    Given nodes a and b
    And the ledger has record x of 100 KB
    When the store turns a away
    And a reads the newest records
    Then a reads x
