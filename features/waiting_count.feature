Feature: A job counts as waiting until an endpoint has begun a run of it
  Endpoints have 16 cores and serve queue q; node a holds the term. Callers see a job as
  queued, and the queue's number of waiting jobs counts it, as long as nothing of it has
  begun.

  # Guards against a queue that is said to have nothing waiting although each start of
  # its jobs fails.
  Scenario Outline: A job whose starts fail is not shown as running
    Given a scheduler with 4 endpoints
    And starts are answered with <outcome>
    When 10 jobs of <kind> are accepted for endpoints that fail their starts
    Then 10 jobs are queued at any time of 7 seconds
    When starts are carried out again
    Then 0 jobs are queued after 8 seconds
    And no rule was broken

    Examples:
      | outcome       | kind                |
      | unhealthy     | one task            |
      | unhealthy     | 30 tasks            |
      | unhealthy     | two steps           |
      | unhealthy     | lasting tasks       |
      | unhealthy     | best-effort tasks   |
      | unhealthy     | a gang              |
      | unhealthy     | repeated tasks      |
      | no_room       | one task            |
      | refused       | one task            |
      | no_ticket     | one task            |
      | late          | one task            |
      | superseded    | one task            |
      | other_life    | one task            |
      | not_sent      | one task            |
      | expired       | one task            |
      | unknown       | one task            |

  # Guards against a successor that takes what its predecessor has placed for begun.
  Scenario: A successor does not show jobs as running whose starts were refused
    Given a scheduler with 4 endpoints
    And starts are answered with unhealthy
    When 10 jobs of one task are accepted for endpoints that fail their starts
    And node b takes the term after 1.1 seconds
    Then 10 jobs are queued at any time of 7 seconds

  # Guards against a job that is counted as waiting although it runs.
  Scenario Outline: A job that has begun is shown as running, whatever showed it
    Given a scheduler with 4 endpoints
    When job j1 of 4 lasting tasks is accepted
    And <trouble>
    And <seconds> seconds pass
    Then job j1 is running in the ledger

    Examples:
      | trouble                                   | seconds |
      | 0 seconds pass                            | 0.4     |
      | node b takes the term after 0.05 seconds  | 8       |
      | node b takes the term after 1 seconds     | 0.1     |

  # Guards against a job that is counted as waiting after its start was carried out
  # without an answer.
  Scenario: A job whose start was not answered is shown as running once it is listed
    Given a scheduler with 4 endpoints
    When job j1 of steps 4x20000 is accepted while responses to orders are lost
    And responses to orders arrive again
    And responses to polls are no longer delayed
    And 3 seconds pass
    Then job j1 is running in the ledger
    And no rule was broken
