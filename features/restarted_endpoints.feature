Feature: Endpoints that restart under the same id
  An endpoint may restart under the id that it had. It knows nothing of its earlier runs,
  and orders that were sent before the scheduler knew of the restart reach it all the
  same.

  # Guards against a run that is started twice: its start order reached the new
  # incarnation of its endpoint before the scheduler knew of it.
  Scenario: A start order is answered by an endpoint that has restarted
    Given a scheduler with 4 endpoints
    When every endpoint restarts with the same id
    And job j1 of steps 8x1000 is accepted
    And 6 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against the same, when the scheduler can't know whether the order arrived.
  Scenario: Start orders to endpoints that have restarted are not answered
    Given a scheduler with 4 endpoints
    And 0.7 of the responses to orders are lost and 0 of orders are carried out late
    When every endpoint restarts with the same id
    And job j1 of steps 8x1000 is accepted
    And 6 seconds pass
    Then job j1 is completed
    And no rule was broken
