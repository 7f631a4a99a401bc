Feature: Counts are never overdrawn
  At every offset of the log each unit of a count is either in the reserve or held by
  one session.

  # Guards against a fold that creates or loses units when takes, gives, ends of
  # sessions and changes of the limit are mixed.
  Scenario Outline: Random records keep the sum of units at the total
    Given a count of <total> units and <sessions> sessions
    When 500 random takes, gives, session ends and limit changes are folded with seed <seed>
    Then the reserve and the holdings add up to the total after each record

    Examples:
      | total | sessions | seed |
      | 40    | 8        | 1    |
      | 3     | 8        | 2    |
      | 1000  | 60       | 3    |
