Feature: A request is denied only by a configuration that is up to date
  The intake has a configuration that may be older than the newest one. A node that can't
  tell whether it is responds with 503, which callers may repeat elsewhere.

  # Guards against responding with 401 or 404 because of a configuration that may be out
  # of date.
  Scenario Outline: <what> is answered <status> when the configuration is <state>
    Given an intake whose configuration is <state>
    When a caller requests a queue with <what>
    Then the response has status <status>

    Examples:
      | what            | state                  | status |
      | an unknown name | recent                 | 404    |
      | an unknown key  | recent                 | 401    |
      | an unknown name | unconfirmed            | 503    |
      | an unknown key  | unconfirmed            | 503    |
      | a known key     | unconfirmed            | 200    |
      | a known key     | outdated               | 503    |

  # Guards against an unexpected error, answered as unknown, for a deadline of a caller.
  Scenario Outline: A request with a deadline of <deadline> ms is answered
    Given an intake whose configuration is recent
    When a caller states a deadline of <deadline> ms for an unknown name
    Then the response has status 404

    Examples:
      | deadline     |
      | -1           |
      | 400 digits   |
      | 5,000 digits |

  # Guards against rejecting a request while the version that contains its queue is
  # being received.
  Scenario: A queue that arrives while the caller waits is served
    Given an intake whose configuration is about to be replaced
    When a caller requests a queue with an unknown name
    Then the response has status 200

  # Guards against a queue whose host the operator has written in upper case, and that no
  # request ever reaches.
  Scenario Outline: A host is the same in upper and in lower case
    Given a manifest with a queue of host <configured>
    When a caller requests that queue at host <requested>
    Then the response has status 200

    Examples:
      | configured | requested  |
      | Rota.Steyr | rota.steyr |
      | rota.steyr | ROTA.STEYR |
      | Rota.Steyr | Rota.Steyr |

  # Guards against refusing the ids of callers that write hexadecimal digits in upper
  # case.
  Scenario: An id may be written in upper case
    Given a manifest with a queue of host h
    When a caller asks for job 5C0E7A21D94B36F8 of that queue
    Then the response has status 410
