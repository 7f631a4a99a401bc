Feature: Orders to endpoints that are slow to show which incarnation they are
  An order is preceded by a poll if no connection to the incarnation meant is open.

  # Guards against start orders that are never answered: the poll and the order share one
  # timeout, and the timeout of the order closes the connection that the poll identified.
  Scenario Outline: An endpoint answers after <seconds> s
    Given an endpoint that answers after <seconds> s
    When a start order is sent to it 3 times
    Then the last start order is answered

    Examples:
      | seconds |
      | 0.05    |
      | 0.15    |

  # Guards against a start order that is sent after its deadline, and so after the checks
  # of its age, of the term and of evacuations: the poll before it is read to its end.
  Scenario: The answer to the poll before an order arrives slowly
    Given an endpoint whose answers to polls arrive in 8 parts
    When a start order is sent to it 1 times
    Then no start order arrives later than 1 s after it was sent
