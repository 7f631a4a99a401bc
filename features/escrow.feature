Feature: Counts are never overdrawn
  Units of a count are in the reserve or held by one session, at every offset.

  # Guards against a fold that creates or loses units.
  Scenario Outline: Random records keep the sum of units at the total
    Given a count of <total> units and <sessions> sessions
    When 500 random takes, gives, endings and limit changes are folded with seed <seed>
    Then the reserve and the holdings summed to the total after each record

    Examples:
      | total | sessions | seed |
      | 40    | 8        | 1    |
      | 3     | 8        | 2    |
      | 1000  | 60       | 3    |
