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

  # Guards against leases that are extended by polls which a lost endpoint can't answer:
  # its tasks waited up to 0.9 s longer than the lease that it surely had. The bound is
  # 3.8 s on a clock that is 2 % slow, 0.1 s for timers and 0.25 s until the next pass.
  Scenario Outline: Work of an endpoint that is lost starts elsewhere after one lease
    Given a scheduler with 4 endpoints and seed <seed>
    When job j1 of steps 8x6000 is accepted
    And <after> seconds pass
    And the endpoint of task 0 of j1 is silent, both ways, for 60 seconds
    And 4.3 seconds pass
    Then task 0 of j1 runs elsewhere
    When 20 seconds pass
    Then job j1 is completed
    And no rule was broken

    Examples:
      | seed | after |
      | 1    | 0.5   |
      | 2    | 0.63  |
      | 3    | 0.76  |
      | 4    | 0.89  |

  # Guards against placing tasks on an endpoint that did not answer the last poll while
  # others do.
  Scenario Outline: An endpoint that did not answer gets no new tasks, <after> s later
    Given a scheduler with 4 endpoints
    When job j1 of steps 4x6000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is silent, both ways, for 60 seconds
    And <after> seconds pass
    And job j2 of steps 4x500 is accepted
    And 2.5 seconds pass
    Then job j2 is completed
    And no rule was broken

    Examples:
      | after |
      | 0.65  |
      | 0.7   |
      | 0.8   |
