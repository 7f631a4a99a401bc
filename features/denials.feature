Feature: A denial is true
  The intake with a configuration that may be older than the newest one. A node that
  can't know answers 503, which callers may repeat elsewhere.

  # Guards against 401 and 404 from a configuration that may be out of date.
  Scenario Outline: <what> is answered <status> when the configuration is <state>
    Given an intake whose configuration is <state>
    When a caller asks for a queue with <what>
    Then the answer has status <status>

    Examples:
      | what            | state                  | status |
      | an unknown name | recent                 | 404    |
      | an unknown key  | recent                 | 401    |
      | an unknown name | unconfirmed            | 503    |
      | an unknown key  | unconfirmed            | 503    |
      | a known key     | unconfirmed            | 200    |
      | a known key     | outdated               | 503    |

  # Guards against sending a caller away while the version that has its queue is coming.
  Scenario: A queue that arrives while the caller waits is served
    Given an intake whose configuration is about to be replaced
    When a caller asks for a queue with an unknown name
    Then the answer has status 200
