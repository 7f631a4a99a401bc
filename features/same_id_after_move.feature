Feature: Instances that come back from a move under the id that their endpoint had
  The pages don't say that the endpoint of a moved instance has a new id, and they say
  that an endpoint may start again under the id that it had.

  # Guards against endpoints that get no tasks for up to 3 s after a move: they come back
  # under their ids, and keep the reason for which the lender had emptied them. A pass is
  # due every 0.25 s, and the stand-in's reports are read at once.
  Scenario Outline: Moved instances keep their ids under pattern <pattern>, seed <seed>
    Given pattern <pattern> and seed <seed>
    When the pattern has been simulated with instances that keep their ids
    Then each endpoint that came back from a move was used again within 0.5 s
    And no rule was broken under the pattern

    Examples:
      | pattern | seed |
      | turns   | 1    |
      | turns   | 2    |
      | wave    | 1    |
      | wave    | 2    |
