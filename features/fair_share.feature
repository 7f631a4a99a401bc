Feature: A free unit goes to the team that is furthest below its fair share

  # Guards against a policy that ignores the weights of teams or breaks ties by the
  # order of hashes, which differs between processes.
  Scenario Outline: Each policy selects the team of the next unit
    Given teams a, b and c with the weights 1, 2 and 3
    Then <policy> gives the next unit to <team> when the units in use are <running>

    Examples:
      | policy  | running         | team |
      | max_min | a: 1, b: 1, c: 1 | c    |
      | max_min | a: 0, b: 1, c: 2 | a    |
      | max_min | c: 5, b: 3       | b    |
      | static  | c: 3, b: 3, a: 4 | b    |
      | fifo    | c: 9, b: 3, a: 0 | c    |

  # Guards against fair shares that leave capacity unused or exceed a team's demand.
  Scenario Outline: The weighted max-min fair share
    Given teams a, b and c with the weights 1, 2 and 3
    Then the fair shares for demands <demand> and <capacity> units are <shares>

    Examples:
      | demand             | capacity | shares              |
      | a: 9, b: 9, c: 9   | 12       | a: 2, b: 4, c: 6    |
      | a: 9, b: 1, c: 9   | 12       | a: 2.75, b: 1, c: 8.25 |
      | a: 1, b: 2, c: 3   | 12       | a: 1, b: 2, c: 3    |

  # Guards against overcorrection: all entries see the same deviation from the fair
  # shares in reports up to a second old, and each corrects it.
  Scenario: Shares stay near their target with reports up to a second old
    Given 8 entries of 6 slots, all used by a, with unlimited demand of teams a, b and c, weights 1, 2 and 3
    When they run for 20 s with reports each second and seed 1
    Then the units of each team differ by at most 8 from 8, 16 and 24 in each second after 5 s
