Feature: An instance belongs to exactly one pool
  A move is finished only when all units of the instance have been returned.

  # Guards against two moves of one instance at the same time, and against a move that
  # was requested against an outdated state.
  Scenario: Two operators move one instance
    Given a running fleet with budget 4 and seed 1
    When the command "drain a11 move to_pool=still" is given
    And the command "drain a11 move to_pool=spare" is void as WRONG_PHASE
    Then instance a11 is available in pool still within 60 seconds
    When the command "drain a11 move to_pool=spare base=20" is void as STALE_BASE
    Then the invariants held at every offset

  # Guards against a move that stays unfinished after the planner that started it fails.
  # One entry is paused for 20 s, so its units are returned late.
  Scenario: The planner fails during a move
    Given a running fleet with budget 4 and seed 2
    When process ea1 is paused for 20 seconds
    And the command "drain a11 move to_pool=still" is given
    And process pa stops responding
    Then instance a11 is available in pool still within 120 seconds
    And the invariants held at every offset

  # Guards against a move that is finished twice: by a planner that resumes after 30 s,
  # and by its successor.
  Scenario: The planner is paused during a move
    Given a running fleet with budget 4 and seed 3
    When the command "drain a11 move to_pool=still" is given
    And process pa is paused for 30 seconds
    Then instance a11 is available in pool still within 120 seconds
    When 60 seconds pass
    Then the invariants held at every offset

  # Guards against a move that is finished although the data centre that is cut off may
  # still hold units of the instance.
  Scenario: The data centre is cut off during a move
    Given a running fleet with budget 4 and seed 4
    When the command "drain a11 move to_pool=still" is given
    And data centre a is cut off
    Then instance a11 is draining after 60 seconds
    When data centre a is reconnected
    Then instance a11 is available in pool still within 60 seconds
    And the invariants held at every offset
