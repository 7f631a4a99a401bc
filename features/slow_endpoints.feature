Feature: Work is kept from endpoints that run it several times slower than others
  Some endpoints take 5 to 8 times as long for some seconds while they answer polls as
  healthy and look the least loaded. The load: 8 endpoints, 24 jobs of 3 tasks a second,
  tasks of 0.6 s of 2 cores, with estimates off by a half, for 15 s.

  # Guards against endpoints that keep getting work that they end too late.
  Scenario: A slow endpoint gets little work
    Given a pool of 8 endpoints with a load of 24 jobs of 3 tasks a second
    When endpoint e1 runs tasks 8 times slower from 3 s to 15 s
    And 15 s of load have passed
    Then endpoint e1 counted as slow, and no other one did
    And fewer than 8 runs started on e1 after 5 s
    And no rule was broken by the load

  # Guards against an endpoint that never gets work again after it has recovered.
  Scenario: An endpoint that has recovered gets work again
    Given a pool of 2 endpoints with a load of 6 jobs of 3 tasks a second
    When endpoint e1 runs tasks 8 times slower from 3 s to 7 s
    And 15 s of load have passed
    Then endpoint e1 counted as slow, and no other one did
    And no endpoint counts as slow now
    And more than 10 runs started on e1 after 12 s

  # Guards against endpoints that count as slow because their tasks run far from their
  # data, which takes up to 3 times as long.
  Scenario: Tasks outside the rack of their data don't count against an endpoint
    Given a pool of 8 endpoints with a load of 24 jobs of 3 tasks a second
    And the data of all jobs is in a rack of 2 endpoints, and tasks elsewhere take 8 times as long
    When 15 s of load have passed
    Then no endpoint counted as slow

  # Guards against endpoints that count as slow because callers underestimate all tasks of
  # some steps: others of the step are as long on other endpoints.
  Scenario: Steps whose tasks are all underestimated don't count against endpoints
    Given a pool of 8 endpoints with a load of 1 jobs of 24 tasks a second
    And the tasks of every third job take 8 times their estimates
    When 15 s of load have passed
    Then no endpoint counted as slow

  # Guards against a pool that is left without capacity because all of its tasks take
  # much longer than estimated.
  Scenario: At most a third of a pool counts as slow
    Given a pool of 8 endpoints with a load of 12 jobs of 3 tasks a second
    When all endpoints run tasks 20 times slower from 1 s to 15 s
    And 15 s of load have passed
    Then at most 2 endpoints counted as slow at a time

  # Guards against jobs that are late because one of their tasks has been started on an
  # endpoint that was found slow afterwards. The task saves checkpoints.
  Scenario: A task that a slow endpoint ends too late starts elsewhere
    Given a pool of 8 endpoints with a load of 24 jobs of 3 tasks a second
    When the endpoint of a task of 3 s that saves checkpoints becomes 8 times slower
    And 8 s of load have passed
    Then that task was stopped once and ended on another endpoint

  # Guards against a successor that has to find slow endpoints again.
  Scenario: The next scheduler knows the slow endpoints
    Given a pool of 8 endpoints with a load of 24 jobs of 3 tasks a second
    When endpoint e1 runs tasks 8 times slower from 3 s to 15 s
    And 8 s of load have passed
    And another node takes the next term
    Then it knows that e1 is slow when its endpoints have joined

  # Guards against evidence that is applied to another process under the same id.
  Scenario: What is known of a slow endpoint ends with its incarnation
    Given a pool of 8 endpoints with a load of 24 jobs of 3 tasks a second
    When endpoint e1 runs tasks 8 times slower from 3 s to 15 s
    And 8 s of load have passed
    Then endpoint e1 counted as slow, and no other one did
    When endpoint e1 restarts
    And another node takes the next term
    Then no endpoint counts as slow now

  # Guards against a write for each change, and against large records.
  Scenario: The record of slow endpoints is bounded
    Given a state with 300 endpoints that count as slow
    Then its record names 200 of them in less than 10000 bytes
    And the next record is not written before 2 s have passed

  # Guards against a node that can't take the term because of an unreadable record, and
  # against an older scheduler that fails because of the new one.
  Scenario Outline: A record of slow endpoints that can't be read has no effect
    Given a record of slow endpoints that is <content>
    Then a new term begins without slow endpoints, and one line says why
    And the other records of the partition are read as before

    Examples:
      | content           |
      | no MessagePack    |
      | of another type   |
      | cut off           |
      | empty             |
