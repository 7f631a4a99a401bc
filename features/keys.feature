Feature: A request is admitted only for the team whose key it carries
  Open queues also admit requests without a valid key. A withdrawn key stops working
  within seconds.

  Background:
    Given team red may use the queue press and team blue every queue
    And the queue walk-in is open to requests without a key

  # Guards against requests that are admitted for no team, for another team or to a
  # queue that the team may not use.
  Scenario Outline: The key determines the team of a request
    When a request to <queue> arrives with <key>
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

  # Guards against a withdrawn key that becomes valid again through a repeated record, a
  # new record, a published file, a snapshot or a replay of the log.
  Scenario Outline: A withdrawn key stays withdrawn
    Given the key of blue was withdrawn
    When <event>
    And a request to press arrives with the key of blue
    Then it is refused with PRP-2103

    Examples:
      | event                                              |
      | nothing else happens                               |
      | the record that added it is appended again         |
      | the key is added again by a new record             |
      | a file that still lists it is published again      |
      | a process starts from a snapshot of the state      |
      | a process starts from the first record of the log  |

  # Guards against a key rotation that locks callers out: the old key must stay valid
  # until it is withdrawn.
  Scenario: Two keys of a team are valid together until one is withdrawn
    Given team red also has a new key
    When a request to press arrives with the new key of red
    Then it is admitted for red
    When a request to press arrives with the key of red
    Then it is admitted for red
    When the key of red is withdrawn
    And a request to press arrives with the new key of red
    Then it is admitted for red

  # Guards against a withdrawal that is lost together with the entry that received it
  # while the log was unavailable.
  Scenario: A withdrawal while the log is unavailable reaches all entries and the log
    Given entries A, B and C without contact to the log
    When the key of blue is withdrawn at A and A notifies B
    And A is lost and B notifies C
    Then C refuses the key of blue with PRP-2103
    When the log is available again and C appends its pending withdrawals
    Then C has no pending withdrawals and refuses the key of blue with PRP-2103
    And a delayed message of B adds no pending withdrawal at C

  # Guards against a data centre that is cut off from the log and accepts keys, which
  # may have been withdrawn, for longer than their team allows.
  Scenario Outline: A team limits the time since the last contact with the log
    Given team red allows a log contact age of 60 s
    When a request to press arrives with <key> and a log contact age of <age> s
    Then it is <result>

    Examples:
      | key             | age   | result                |
      | the key of red  | 59    | admitted for red      |
      | the key of red  | 61    | refused with PRP-2106 |
      | the key of blue | 99999 | admitted for blue     |

  # Guards against secrets of keys that leak into traces, effects or log lines when an
  # entry records the events of a request.
  Scenario Outline: The secret appears neither in events nor in log lines
    When an entry handles a request with <key> and records it
    Then the trace contains the key id <id> and no part of the secret

    Examples:
      | key                       | id               |
      | the key of red            | of red           |
      | a wrong secret for red    | of red           |
      | the secret without its id | malformed        |
