Feature: Endpoints that don't refuse starts stay within their capacity
  Endpoints have 16 cores and serve queue q; node a holds the term. A start that brings an
  endpoint over its capacity is a violation named limit, and so is one that brings it over
  a capacity that has shrunk 3.5 seconds earlier or more.

  # Guards against sending a start order whose placement took long to store, to an endpoint
  # whose capacity has shrunk meanwhile.
  Scenario: A placement that was stored late is dropped if the endpoint has shrunk
    Given a scheduler with 2 endpoints
    And no endpoint guards its capacity
    And the store takes 5 seconds for an append
    When job j1 of steps 16x3000 is accepted
    And 1 seconds pass
    And every endpoint shrinks to 6000 millicores
    And 6 seconds pass
    And the store takes 0.01 seconds for an append again
    And 40 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against starting some members of a gang only, which then wait for the others.
  Scenario: No member of a gang starts if one of their endpoints has shrunk
    Given a scheduler with 3 endpoints
    And no endpoint guards its capacity
    And the store takes 1.8 seconds for an append
    When job j1 of a gang 4x1000 of 7 cores is accepted
    And 0.5 seconds pass
    And endpoint e1 shrinks to 6000 millicores
    And 3 seconds pass
    And the store takes 0.01 seconds for an append again
    And 20 seconds pass
    Then job j1 is completed
    And no run waited alone
    And no rule was broken

  # Guards against repeating a start order, which had no answer, when the capacity of the
  # endpoint has shrunk since it was first sent.
  Scenario: An unanswered order is not repeated if the endpoint has shrunk
    Given a scheduler with 2 endpoints
    And no endpoint guards its capacity
    When start orders are lost
    And job j1 of steps 16x3000 is accepted
    And 0.5 seconds pass
    And every endpoint shrinks to 6000 millicores
    And 4.5 seconds pass
    And start orders arrive again
    And 40 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against placing tasks by the capacity that an endpoint had before it restarted.
  # Its answer to a poll may arrive before its report.
  Scenario: A restarted endpoint gets no tasks before its capacity is known
    Given a scheduler with 1 endpoints
    And no endpoint guards its capacity
    When job j1 of steps 4x1000 is accepted
    And 0.5 seconds pass
    And endpoint e1 restarts with 6000 millicores and reports it after 3 seconds
    And 0.5 seconds pass
    And job j2 of steps 8x2000 is accepted
    And 30 seconds pass
    Then job j2 is completed
    And no rule was broken

  # Guards against using the capacity of a run that is being stopped, as an earlier run of
  # the same task has succeeded.
  Scenario: A duplicate that is being stopped still uses its capacity
    Given a scheduler with 2 endpoints
    And no endpoint guards its capacity
    When job j1 of steps 8x3000 that allows duplicate runs is accepted
    And 2.9 seconds pass
    And the endpoint of task 0 of j1 is cut off for 5 seconds
    And 5 seconds pass
    And job j2 of steps 16x1000 is accepted
    And 10 seconds pass
    Then all jobs are completed
    And no rule was broken

  # Guards against starts on endpoints that have shrunk below what they run, and against
  # work that is not started when they have grown again.
  Scenario Outline: Endpoints shrink and grow again while they work
    Given a scheduler with 4 endpoints and seed <seed>
    And no endpoint guards its capacity
    And <lost> of the responses to orders are lost and 0.0 of orders are carried out late
    When 20 jobs of steps 8x1000 are accepted over 5 seconds
    And every endpoint shrinks to 5000 millicores
    And 20 jobs of steps 4x1000 are accepted over 8 seconds
    And every endpoint grows to 16000 millicores
    And 60 seconds pass
    Then all jobs are completed
    And no rule was broken

    Examples:
      | seed | lost |
      | 1    | 0.0  |
      | 2    | 0.3  |
