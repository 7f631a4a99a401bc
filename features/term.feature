Feature: One node schedules, and another takes over when it is silent

  # Guards against a term that is claimed from a scheduler that lives, or never claimed.
  Scenario Outline: When the next term is claimed
    Given a node that heard of the scheduler <sign> s ago, reads the store since <connected> s ago and read it <read> s ago
    And the term's holder is <holder>
    Then the node <claims> the next term

    Examples:
      | sign | connected | read | holder  | claims         |
      | 0.5  | 60        | 0.1  | other   | does not claim |
      | 1.7  | 60        | 0.1  | other   | claims         |
      | 1.7  | 60        | 1.5  | other   | does not claim |
      | 9.0  | 0.5       | 0.1  | other   | does not claim |
      | 9.0  | 0.9       | 0.1  | other   | claims         |
      | 0.1  | 60        | 0.1  | nobody  | claims         |
      | 0.1  | 60        | 0.1  | itself  | claims         |
