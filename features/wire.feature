Feature: Everything that comes over a socket is bounded, checked and answered once

  # Guards against parts that work alone and not together over real sockets.
  Scenario: A request passes through an entry and SIGTERM ends it with code 0
    When a caller sends a request through an entry and the entry gets SIGTERM
    Then the caller got the endpoint's answer with its own request id
    And the log has the session opened, then closed
    And the entry exited with code 0
