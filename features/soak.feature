Feature: No rule is broken under faults drawn from a seed

  # Guards against rules that are broken only when several faults coincide: nodes killed
  # and frozen, endpoints cut off, restarted and hanging, the store unavailable,
  # responses lost.
  Scenario Outline: The scheduler breaks no rule in a soak run
    Given a soak run with seed <seed>
    Then it broke no rule

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 10   |
      | 17   |
