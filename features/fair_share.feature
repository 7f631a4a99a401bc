Feature: A free unit goes to the team that is furthest below its share

  # Guards against weights that are ignored and ties that depend on hash seeds.
  Scenario Outline: The next team
    Given teams a, b and c with the weights 1, 2 and 3
    Then <policy> gives a unit to <team> when they run <running>

    Examples:
      | policy  | running         | team |
      | max_min | a: 1, b: 1, c: 1 | c    |
      | max_min | a: 0, b: 1, c: 2 | a    |
      | max_min | c: 5, b: 3       | b    |
      | static  | c: 3, b: 3, a: 4 | b    |
      | fifo    | c: 9, b: 3, a: 0 | c    |

  # Guards against shares that leave capacity unused or exceed a demand.
  Scenario Outline: The weighted max-min fair share
    Given teams a, b and c with the weights 1, 2 and 3
    Then the fair shares of <demand> in <capacity> units are <shares>

    Examples:
      | demand             | capacity | shares              |
      | a: 9, b: 9, c: 9   | 12       | a: 2, b: 4, c: 6    |
      | a: 9, b: 1, c: 9   | 12       | a: 2.75, b: 1, c: 8.25 |
      | a: 1, b: 2, c: 3   | 12       | a: 1, b: 2, c: 3    |

  # Guards against entries that all correct the same deviation by old reports.
  Scenario: Shares stay near their target with reports that are a second old
    Given 8 entries of 6 slots, all used by a, with endless work of teams a, b and c, weights 1, 2 and 3
    When they run for 20 s with reports each second and seed 1
    Then the units of each team stay within 8 of 8, 16 and 24 in each second after 5 s
