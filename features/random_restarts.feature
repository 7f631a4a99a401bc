Feature: Endpoints that restart and are cut off at random
  Idle endpoints restart under their ids, on slow clocks, as jobs arrive; some are cut off
  soon after, and schedulers are killed or frozen.

  # Guards against a task that runs twice in an order of events that no other scenario
  # names.
  Scenario: Restarts, cuts and takeovers
    Given restarts, cuts and takeovers at random, of seeds 1 to 10
    When these days have passed
    Then no rule was broken on these days
