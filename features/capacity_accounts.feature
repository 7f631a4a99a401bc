Feature: Reserved capacity equals that of the placed tasks
  Endpoints have 16 cores and serve queue q. The scheduler keeps sums of what its tasks
  use, by workspace for upper limits and by endpoint for room.

  # Guards against capacity that stays charged after its task has gone, so that tasks wait
  # beside free endpoints for the rest of the term.
  Scenario Outline: The sums are right at any time under random faults
    Given a scheduler with 5 endpoints and seed <seed>
    And workspace w has an upper limit of <limit> millicores
    When 240 random submissions and faults happen, checked after each
    And all faults end and 25 seconds pass
    Then each lasting task is running, and the sums are right
    And no rule was broken

    Examples:
      | seed | limit |
      | 1    | 0     |
      | 2    | 40000 |
      | 3    | 0     |
      | 28   | 0     |
