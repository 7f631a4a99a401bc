Feature: One job of many steps leaves the scheduler time for all others
  A scheduler that does not return to its event loop for a second loses its term, and so
  does each successor that is given the same job. The work of a step of the scheduler is
  measured in executed bytecode instructions, which are the same on every machine.

  # Guards against a planning pass that compares all steps of a job with each other: one
  # accepted job of 1,000 steps kept each scheduler busy until it lost its term.
  Scenario Outline: The work of a planning pass grows in proportion to a job's steps
    Given jobs of 100 and of 400 steps that are <kind>
    When each waits in a pool with <room> room
    Then a planning pass with the larger job takes at most 5 times the work

    Examples:
      | kind                      | room   |
      | independent               | enough |
      | independent               | no     |
      | different from each other | enough |
      | different from each other | no     |
      | lasting                   | enough |
      | lasting                   | no     |
      | best-effort               | enough |
      | best-effort               | no     |
      | gangs                     | enough |
      | gangs                     | no     |
      | spread                    | enough |
      | spread                    | no     |
      | kept in one rack          | enough |
      | a chain                   | enough |
      | after 30 earlier steps    | enough |
      | after one of ten          | enough |
      | repetitions               | enough |
      | without a matching label  | enough |
      | beyond a limit            | enough |
      | lasting beyond a limit    | enough |
      | in need of advice         | enough |
      | lasting beside filling    | no     |
      | spread beside filling     | no     |

  # Guards against a planning pass that takes time for each pair of a gang's members and
  # endpoints, though the gang fits nowhere.
  Scenario: The work of a planning pass grows in proportion to a gang's members
    Given gangs of 100 and of 400 members
    When each waits in a pool with no room
    Then a planning pass with the larger job takes at most 5 times the work

  # Guards against the same comparison under the ranking by value.
  Scenario: The work of a planning pass that ranks by value grows in proportion
    Given jobs of 100 and of 400 steps that are independent
    And jobs are ranked by value
    When each waits in a pool with no room
    Then a planning pass with the larger job takes at most 5 times the work

  # Guards against looking at all steps of a job again whenever one of its runs ends.
  Scenario Outline: The work for the ends of all runs grows in proportion to the steps
    Given jobs of 100 and of 400 steps that are <kind>
    When each waits in a pool with enough room
    Then the ends of all runs of the larger job take at most 5 times the work

    Examples:
      | kind        |
      | independent |
      | repetitions |
      | a chain     |

  # Guards against a job that is accepted and then keeps each node busy that reads it.
  Scenario Outline: The work of accepting a job grows in proportion to its steps
    Given jobs of 100 and of 400 steps that are <kind>
    Then accepting the larger job takes at most 5 times the work

    Examples:
      | kind                   |
      | independent            |
      | a chain                |
      | after 30 earlier steps |
      | after one of ten       |
