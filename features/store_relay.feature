Feature: A node that the store refuses reaches it through another node
  Nodes a and b have each other's addresses. Each has its own connection to the store,
  and both stores share one ledger.

  # Guards against a scheduler that loses its term, and callers that are rejected, while
  # the store refuses only this node.
  Scenario: Appends and reads go through the other node
    Given nodes a and b
    When the store refuses node a
    And a appends record x
    Then a gets the offset 0
    When a reads from 0
    Then a reads x
    And the ledger holds x once

  # Guards against reporting "not accepted" for a record that the other node may have
  # stored.
  Scenario: The outcome is unknown if the other node gets no response
    Given nodes a and b
    When the store refuses node a
    And the store's responses to node b are lost
    And a appends record x
    Then a gets an unknown outcome

  # Guards against an outcome that stays unknown because the node that makes the call is
  # stopped, and against calls that it begins when it has to end.
  Scenario: A node that is stopped ends the calls that it makes for another one
    Given nodes a and b
    When the store refuses node a, and answers node b after 0.3 s
    And a appends record x, and b is stopped gracefully meanwhile
    Then a gets the offset 0
    When a appends record y
    Then a gets a refusal
    And the ledger holds x once

  # Guards against an unknown outcome where nothing was sent, since callers can't repeat
  # such a request.
  Scenario: A refusal through all nodes is a refusal
    Given nodes a and b
    When the store refuses node a
    And the store refuses node b
    And a appends record x
    Then a gets a refusal
    And the ledger holds x 0 times

  # Guards against a record that is repeated without end, since its refusal as invalid
  # became one for another reason on the way.
  Scenario Outline: A record that the store rejects is rejected <way>
    Given nodes a and b
    When the store refuses node <refused>
    And a appends 1 records of 600000 bytes in one call
    Then a gets a rejection

    Examples:
      | way                    | refused |
      | directly               | b       |
      | through the other node | a       |

  # Guards against an unknown outcome of a call that was sent although the store was
  # known to be silent: the caller can't repeat such a request.
  Scenario: Nothing is appended for callers while the store is known to be silent
    Given nodes a and b
    When the store's responses to node a are lost
    And the store's responses to node b are lost
    And a finds that it can't read
    And b finds that it can't read
    And a appends record x
    Then a gets a refusal
    And the ledger holds x 0 times
    When a appends record y under epoch 1
    Then a gets an unknown outcome

  # Guards against nodes that do not notice that the store is available again.
  Scenario: The store is used directly again when it serves the node
    Given nodes a and b
    When the store refuses node a
    And a appends record x
    And the store serves node a
    And 0.7 seconds elapse
    And node b is stopped
    And a appends record y
    Then a gets the offset 1

  # Guards against a node that crashes because one call exceeds the size limit of a
  # message. The outcome counts as unknown, like that of any call that is broken off.
  Scenario: An append that is too large for another node ends no process
    Given nodes a and b
    When the store refuses node a
    And a appends 300 records of 4000 bytes in one call
    Then a gets an unknown outcome
    When a appends record x
    Then a gets the offset 0

  # Guards against a deposed scheduler that goes on because another node hides the
  # store's refusal.
  Scenario: The refusal of an outdated epoch is reported through the other node
    Given nodes a and b
    When the store refuses node a
    And a higher epoch has appended
    And a appends record x under epoch 1
    Then a gets the error that its epoch is outdated

  # Guards against an unknown outcome where the other node could not even be reached.
  Scenario: A node that has stopped makes no outcome unknown
    Given nodes a and b
    When node b is stopped
    And the store refuses node a
    And a appends record x
    Then a gets a refusal

  # Guards against a node that crashes because many others come and go while the store
  # refuses it: a connection that one call was opening was closed for another one.
  Scenario: Many nodes that do not respond end no call of this node
    Given nodes a and b
    When 20 more addresses of stopped nodes are known
    And the store refuses node a
    And the store refuses node b
    And a appends 30 records at once
    Then each of the 30 appends is refused or has an unknown outcome

  # Guards against a response that carries neither progress nor an error because the
  # record did not fit.
  Scenario: A record larger than one response is read through the other node
    Given nodes a and b
    And the ledger has record x of 700 KB
    When the store refuses node a
    And a reads from 0
    Then a reads x

  # Guards against a node that falls behind the store's history while the store refuses
  # it.
  Scenario: The newest records are read through the other node
    Given nodes a and b
    And the ledger has record x of 100 KB
    When the store refuses node a
    And a reads the newest records
    Then a reads x
