Feature: Work is accepted only for the team whose key came with it
  Except on open queues; and a withdrawn key stops working within seconds.

  Background:
    Given team red may use the queue press and team blue every queue
    And the queue walk-in is open to all

  # Guards against work that is accepted for no team, another team or another queue.
  Scenario Outline: The key decides about the team
    When a request to <queue> comes with <key>
    Then it is <result>

    Examples:
      | queue   | key                    | result                 |
      | press   | the key of red         | admitted for red       |
      | press   | the key of blue        | admitted for blue      |
      | still   | the key of blue        | admitted for blue      |
      | still   | the key of red         | refused with PRP-2104  |
      | press   | no key                 | refused with PRP-2101  |
      | press   | a wrong secret for red | refused with PRP-2102  |
      | press   | an unknown key         | refused with PRP-2102  |
      | press   | a malformed key        | refused with PRP-2102  |
      | nowhere | the key of red         | refused with PRP-2105  |
      | walk-in | no key                 | admitted for public    |
      | walk-in | a wrong secret for red | admitted for public    |
      | walk-in | the key of red         | admitted for public    |
      | walk-in | the key of blue        | admitted for blue      |

  # Guards against a withdrawn key that works again.
  Scenario Outline: A withdrawn key stays withdrawn
    Given the key of blue was withdrawn
    When <revival>
    And a request to press comes with the key of blue
    Then it is refused with PRP-2103

    Examples:
      | revival                                            |
      | nothing else happens                               |
      | the record that gave it is appended again          |
      | it is given again by a new record                  |
      | a file that still names it is published again      |
      | a process starts from a snapshot of the state      |
      | a process starts from the first record of the log  |

  # Guards against a rotation that cuts callers off.
  Scenario: Two keys of a team are valid together until one is withdrawn
    Given team red also has a new key
    When a request to press comes with the new key of red
    Then it is admitted for red
    When a request to press comes with the key of red
    Then it is admitted for red
    When the key of red is withdrawn
    And a request to press comes with the new key of red
    Then it is admitted for red

  # Guards against a withdrawal that is lost with the entry that took it.
  Scenario: A withdrawal while the log is down spreads and survives
    Given entries A, B and C without contact to the log
    When the key of blue is withdrawn at A and A tells B
    And A is lost and B tells C
    Then C refuses the key of blue with PRP-2103
    When the log is back and C appends what is pending
    Then C has nothing pending and refuses the key of blue with PRP-2103
    And an old message of B makes nothing pending at C

  # Guards against a cut-off data centre that trusts keys longer than a team allows.
  Scenario Outline: A team limits the age of the contact with the log
    Given team red allows a contact age of 60 s
    When a request to press comes with <key> and a contact age of <age> s
    Then it is <result>

    Examples:
      | key             | age   | result                |
      | the key of red  | 59    | admitted for red      |
      | the key of red  | 61    | refused with PRP-2106 |
      | the key of blue | 99999 | admitted for blue     |

  # Guards against secrets in traces, effects and log lines.
  Scenario Outline: The secret appears neither in events nor in log lines
    When an entry handles a request with <key> and records it
    Then the trace has the key id <id> and no part of the secret

    Examples:
      | key                       | id               |
      | the key of red            | of red           |
      | a wrong secret for red    | of red           |
      | the secret without its id | malformed        |
