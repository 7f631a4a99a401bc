Feature: A refused caller that comes back keeps its place, at any node
  A refusal stores the job's id and the time of its first attempt. The node that accepts
  the job later stores the time in the job's spec.

  Background:
    Given a job intake and a store
    And the scheduler publishes a wait of 60 seconds

  # Guards against a caller that begins anew at each attempt and is never served.
  Scenario: Another node stores the first attempt in the spec of the job
    When job j1 is refused 5 seconds ago
    And another node reads the store and accepts job j1
    Then the spec of j1 has a first attempt of 5 seconds before its acceptance

  # Guards against a second refusal that moves the place back.
  Scenario: A second refusal does not replace the first one
    When job j1 is refused 5 seconds ago
    And another node reads the store and refuses job j1
    And another node reads the store and accepts job j1
    Then the spec of j1 has a first attempt of 5 seconds before its acceptance

  # Guards against a store that grows by a record for each refusal.
  Scenario Outline: A first attempt is removed after 30 seconds by the scheduling node
    When job j1 is refused 5 seconds ago
    And <seconds> seconds pass for a node that <schedules>
    Then the store has <records> first attempts

    Examples:
      | seconds | schedules         | records |
      | 29      | schedules         | 1       |
      | 31      | schedules         | 0       |
      | 31      | does not schedule | 1       |

  # Guards against deadlines that the clock of another node moves by minutes.
  Scenario Outline: A first attempt outside the retention before the acceptance is ignored
    When job j1 is refused <seconds> seconds ago
    And another node reads the store and accepts job j1
    Then the spec of j1 has no first attempt

    Examples:
      | seconds |
      | -3      |
      | 31      |

  # Guards against a refusal that waits for a store that does not answer.
  Scenario: A refusal stands while the store refuses records
    Given the store refuses records of first attempts
    When job j1 is refused 0 seconds ago
    Then 1 first attempts were dropped
    And the store has 0 first attempts

  # Guards against a storm of refusals that takes the place of accepted jobs in the
  # store.
  Scenario: At most 200 refusals a second are recorded
    When 300 jobs are refused within 1 second
    Then the store has at most 200 first attempts, and the others were dropped

  # Guards against one record that keeps a node from reading the rest.
  Scenario: A record that can't be decoded is skipped
    Given the store has an unreadable first attempt
    When job j1 is refused 5 seconds ago
    And another node reads the store and accepts job j1
    Then the spec of j1 has a first attempt of 5 seconds before its acceptance

  # Guards against callers that choose their own place.
  Scenario: A submission can't name a first attempt
    When a submission names a first attempt of 1
    Then its spec has no first attempt

  # Guards against specs of earlier versions that can't be read.
  Scenario: A spec without the field decodes with no first attempt
    Then a spec stored without a first attempt decodes to the same spec

  # Guards against a successor that counts the deadline from the acceptance.
  Scenario: Deadline and rank count from the first attempt, also after a takeover
    Given a scheduler with 1 endpoints
    When a job accepted after a refusal 0.4 seconds ago waits beside one without
    Then its deadline is 400 ms earlier, and it ranks first
    When node a is killed after 0 seconds
    And node b takes the term after 1 seconds
    And 2 seconds pass
    Then its deadline is 400 ms earlier, and it ranks first
