Feature: Accepted jobs run to their end whatever becomes of their queue
  A version of the configuration may rename, move, remove or change a queue while jobs
  that were accepted on it run or wait. What a job keeps from its acceptance is stated in
  docs/design.md.

  # Guards against a queue that is looked up by its name alone: jobs of a route that was
  # replaced by one of another name were started without tickets, and refused for ever.
  Scenario Outline: Jobs of a queue with advice are completed although <change>
    Given a scheduler with 6 endpoints
    And queue q requires placement advice, and endpoints refuse starts without tickets
    When 4 jobs of steps 2x1000 then 2x1000 are accepted on queue q
    And 0.5 seconds pass
    And <change>
    And 8 seconds pass
    Then all jobs are completed
    And at most 8 starts were refused
    And no rule was broken

    Examples:
      | change                                                |
      | nothing changes                                       |
      | a version replaces it by a queue of another name      |
      | a version removes it                                  |
      | a version moves it to another path                    |
      | a version gives its name to a queue of another pool   |
      | a version swaps its name with a queue without advice  |
      | a version takes its advice away                       |
      | a version takes its advice away and gives it back     |

  # Guards against the same after a takeover: the successor has never seen the version
  # under which the jobs were accepted.
  Scenario Outline: A successor completes jobs of a queue although <change>
    Given a scheduler with 6 endpoints
    And queue q requires placement advice, and endpoints refuse starts without tickets
    When 4 jobs of steps 2x1000 then 2x1000 are accepted on queue q
    And 0.5 seconds pass
    And <change>
    And node b takes the term after 0 seconds
    And 16 seconds pass
    Then all jobs are completed
    And no rule was broken

    Examples:
      | change                                           |
      | a version replaces it by a queue of another name |
      | a version removes it                             |

  # Guards against jobs that were accepted before the queue had advice.
  Scenario: Jobs get tickets once a version adds advice to their queue
    Given a scheduler with 6 endpoints
    When 4 jobs of steps 2x1000 then 2x1000 are accepted on queue q
    And 0.5 seconds pass
    And a version adds advice to queue q, and endpoints refuse starts without tickets
    And 8 seconds pass
    Then all jobs are completed
    And at most 8 starts were refused

  # Guards against jobs in records of the version before, which lack the queue's address
  # and advice: the refusals of their starts show that tickets are needed.
  Scenario: Jobs of the version before are completed after their queue was replaced
    Given a scheduler with 6 endpoints
    And queue q requires placement advice, and endpoints refuse starts without tickets
    When 4 jobs of steps 2x1000 then 2x1000 are accepted on queue q by the version before
    And 0.5 seconds pass
    And a version replaces it by a queue of another name
    And 8 seconds pass
    Then all jobs are completed
    And at most 16 starts were refused

  # Guards against thousands of starts a second that are all refused for the same reason.
  Scenario Outline: A start that is always refused is repeated with growing pauses
    Given a scheduler with 6 endpoints
    And starts are answered with <reason>
    When job refused of steps 1x500 is accepted
    And 10 seconds pass
    Then between 3 and 30 starts were refused

    Examples:
      | reason    |
      | no_ticket |
      | late      |
      | refused   |

  # Guards against work that no queue counts as waiting any more after a rename.
  Scenario Outline: Jobs count as waiting for their queue although it <change>
    Given 3 queued jobs that were accepted on queue q at /q/
    When the queue <change>
    Then queue <counted> counts <waiting> of them as waiting

    Examples:
      | change                             | counted | waiting |
      | is unchanged                       | q       | 3       |
      | gets the name renamed              | renamed | 3       |
      | moves to /moved/                   | q       | 3       |
      | is at /q/ no longer, but queue new | new     | 3       |

  # Guards against a workspace without any limit, since a version has removed it while it
  # has work.
  Scenario Outline: A workspace that a version removes keeps its limit <successor>
    Given a scheduler with 6 endpoints
    And workspace w has an upper limit of 3000 millicores
    When a job of 30 tasks is accepted with the limit of its workspace
    And 0.2 seconds pass
    And a version removes workspace w
    And <successor>
    And 7 seconds pass
    Then the workspace never had more than 3000 millicores in use

    Examples:
      | successor                             |
      | 1 seconds pass                        |
      | node b takes the term after 0 seconds |

  # Guards against trusting the endpoints of a service that no version names any more to
  # refuse what exceeds their capacity.
  Scenario: An endpoint whose service is not configured has no capacity until it reports
    Given a scheduler with 2 endpoints
    When a version removes the service
    And an endpoint is back as another kind before it reports
    Then nothing is placed on it
