Feature: Numbers at their limits, together, end no term and spoil no figure
  Each number of a message has a bound, and their sums and products have none. What the
  scheduler derives from them is written into records of 64-bit integers.

  # Guards against an estimated wait that exceeds 64 bits: its record could not be
  # encoded, and each heartbeat ended the scheduler's term.
  Scenario: The wait that a job in wrong units causes is published within its bound
    Given a scheduler with 6 endpoints
    When a job of 400 tasks of 16000000000 cpu and 3600000000000 ms is accepted
    And job sound of steps 2x500 is accepted
    And 3 seconds pass
    Then job sound is completed
    And no wait is published
    And node a still has its first term
    And no rule was broken

  # Guards against the same with tasks that fit on an endpoint, whose estimates let all
  # other jobs of the pool be refused while most of it is free.
  Scenario Outline: A job with an estimate in wrong units has no other job refused
    Given a scheduler with 6 endpoints
    When a job of <tasks> tasks of <cpu> cpu and <estimate> ms is accepted
    And the limit of its workspace admits 2 of them
    And 3 seconds pass
    Then no wait over 3000 ms is published
    When job sound of steps 2x500 is accepted
    And 4 seconds pass
    Then job sound is completed

    Examples:
      | tasks | cpu  | estimate         |
      | 400   | 1000 | 3600000000000    |
      | 40    | 8000 | 9007199254740991 |
      | 20000 | 1    | 9007199254740991 |

  # Guards against the same with occurrences that are long overdue: new jobs start before
  # them.
  Scenario: A schedule of overdue occurrences has no other job refused
    Given a scheduler with 6 endpoints
    When a schedule of 20000 overdue occurrences of one task is accepted
    And 3 seconds pass
    Then no wait over 1000 ms is published

  # Guards against the same with a gang that all endpoints together can't hold.
  Scenario: A gang larger than its pool has no other job refused
    Given a scheduler with 6 endpoints
    When job gang of a gang 200x1000 of 2 cores is accepted
    And 3 seconds pass
    Then no wait is published
    When job sound of steps 2x500 is accepted
    And 2 seconds pass
    Then job sound is completed

  # Guards against instances of all pools that are lent for a minute to the pool of a job
  # in wrong units, since its work counts as demand.
  Scenario: A job in wrong units causes no demand for instances
    Given a scheduler with 6 endpoints
    When a job of 400 tasks of 16000000000 cpu and 3600000000000 ms is accepted
    Then the arrival rate of its pool is 0

  # Guards against any sum, product or quotient of accepted numbers that raises an
  # exception or can't be encoded: generated jobs, limits, endpoints and reports together.
  Scenario Outline: Generated numbers at and near all bounds raise nothing
    Then <count> generated deployments raise nothing and write what can be read, with seed <seed>

    Examples:
      | count | seed |
      | 60    | 1    |
      | 60    | 2    |

  # Guards against a term that ends because a part of it fails that only advises.
  Scenario Outline: A term goes on although <part> can't be computed
    Given a scheduler with 6 endpoints
    When the computation of <part> raises an exception
    And job sound of steps 2x500 is accepted
    And 3 seconds pass
    Then job sound is completed
    And node a still has its first term
    And the log names <part> as failed

    Examples:
      | part           |
      | waits          |
      | slow endpoints |
      | log of waits   |
      | arrival rates  |
