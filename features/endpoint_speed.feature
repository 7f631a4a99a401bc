Feature: Endpoints that run work several times slower than others are found
  Some endpoints take 5 to 8 times as long for some seconds while they answer polls as
  healthy. Estimates are off by a half (lognormal) in both directions. The load is that
  of a short queue: 200 runs on each endpoint, about those of a minute.

  # Guards against endpoints that are set aside because of estimates: an earlier attempt
  # named twelve of twelve endpoints that were sound.
  Scenario Outline: Sound endpoints do not count as slow
    Given 100 seeds of 20 sound endpoints whose <unit> are off by a half
    When 200 runs have ended on each
    Then at most <most> of the 2000 endpoints counted as slow at some time

    Examples:
      | unit           | most |
      | single tasks   | 2    |
      | steps of 8     | 2    |

  # Guards against endpoints that count as slow because callers of a pool underestimate
  # all of their tasks.
  Scenario: Estimates of a whole pool that are too low don't count against endpoints
    Given 20 seeds of 20 sound endpoints whose single tasks are off by a half
    And whose tasks all take 1.8 times their estimates
    When 200 runs have ended on each
    Then at most 2 of the 400 endpoints counted as slow at some time

  # Guards against a slow endpoint that is found only when its time is over.
  Scenario: A slow endpoint is found within a few runs
    Given 100 seeds of 20 sound endpoints whose single tasks are off by a half
    When the runs of one endpoint take 6 times as long
    Then it counts as slow after 5 runs of different jobs in 90 of 100 seeds

  # Guards against a single hanging task, or a single job that is estimated wrongly, that
  # makes its endpoint slow.
  Scenario: Runs of a single job prove little
    Given an endpoint
    When 2 runs of a job take 50 times as long as expected
    Then the endpoint does not count as slow

  # Guards against endpoints that stay aside after they have recovered.
  Scenario: A slow endpoint recovers after a few runs
    Given an endpoint that counts as slow
    When 3 runs of different jobs take as long as expected
    Then the endpoint does not count as slow

  # Guards against evidence that outlives the fault on an endpoint without work.
  Scenario: Evidence is forgotten after 30 s without ends
    Given an endpoint that counts as slow
    When 31 s have passed without ends
    Then the endpoint does not count as slow
