Feature: Instances that come back from a move under the id that their endpoint had
  The pages don't say that the endpoint of a moved instance has a new id, and they say
  that an endpoint may start again under the id that it had.

  # Guards against endpoints that get no tasks for up to 3 s after a move: they come back
  # under their ids, and keep the reason for which the lender had emptied them.
  Scenario Outline: Moved instances keep their ids under pattern <pattern>, seed <seed>
    Given pattern <pattern> and seed <seed>
    And moved instances come back under their ids
    When the pattern has been simulated
    Then at least <served> of the jobs' value was served
    And no rule was broken under the pattern

    Examples:
      | pattern | seed | served |
      | turns   | 2    | 0.78   |
      | wave    | 2    | 0.78   |
