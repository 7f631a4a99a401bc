Feature: Work on an endpoint that is only silent is neither started again nor given up
  An endpoint that does not answer may go on running its tasks. A lease is 3.8 s; a
  second run may start only when the lease of the first one has surely expired. The
  rule TWICE is checked throughout.

  # Guards against a second run, or a counted attempt, because of a silence that is
  # shorter than a lease.
  Scenario Outline: A short silence, <way>, for <silence> s
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x6000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is silent, <way>, for <silence> seconds
    And 25 seconds pass
    Then job j1 is completed
    And each task of j1 ran once, and no attempt failed
    And no rule was broken

    Examples:
      | way       | silence |
      | both ways | 0.3     |
      | both ways | 0.9     |
      | both ways | 2       |
      | both ways | 2.8     |
      | one way   | 0.3     |
      | one way   | 0.9     |
      | one way   | 2       |
      | one way   | 2.8     |

  # Guards against a second run beside the first one after a silence of about a lease or
  # more, and against a failed attempt that is counted for it.
  Scenario Outline: A long silence, <way>, for <silence> s
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x6000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is silent, <way>, for <silence> seconds
    And 30 seconds pass
    Then job j1 is completed
    And no attempt of j1 failed
    And no rule was broken

    Examples:
      | way       | silence |
      | both ways | 3.7     |
      | both ways | 4       |
      | both ways | 4.4     |
      | both ways | 10      |
      | one way   | 3.7     |
      | one way   | 4       |
      | one way   | 4.4     |
      | one way   | 10      |

  # Guards against a successor that takes a silent endpoint for one without tasks: it has
  # no answer from it yet, and its leases are known to the earlier scheduler only.
  Scenario Outline: A silence of <silence> s, <way>, across a takeover
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x6000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is silent, <way>, for <silence> seconds
    And node a is killed after 0.3 seconds
    And node b takes the term after 1.2 seconds
    And 30 seconds pass
    Then job j1 is completed
    And no attempt of j1 failed
    And no rule was broken

    Examples:
      | way       | silence |
      | both ways | 0.9     |
      | both ways | 2       |
      | both ways | 4       |
      | both ways | 6       |
      | both ways | 10      |
      | one way   | 2       |
      | one way   | 6       |

  # Guards against taking tasks away from an endpoint whose entry has lapsed in the
  # store's outage and is back 2 s later.
  Scenario Outline: The entry of an endpoint is missing for <missing> s
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x6000 is accepted
    And 0.5 seconds pass
    And the entry of the endpoint of task 0 of j1 is missing for <missing> seconds
    And 20 seconds pass
    Then job j1 is completed
    And each task of j1 ran once, and no attempt failed
    And no rule was broken

    Examples:
      | missing |
      | 0.5     |
      | 2       |
      | 8       |
