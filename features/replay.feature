Feature: Recorded traces are replayed and compared with what is stated beside them
  A trace proves a property only if its events lead to the same effects again and the
  stated facts hold.

  # Guards against a replay that accepts a trace of other decisions.
  Scenario Outline: A trace with <defect> holds <held> of 1
    Given a trace of an entry that refuses 3 requests since it has no state
    And its statement has <defect>
    When the trace is replayed
    Then the last line is "property not_run_is_true: traces=1 held=<held>"
    And the exit code is <code>

    Examples:
      | defect                | held | code |
      | no defect             | 1    | 0    |
      | a digest of other effects | 0 | 1   |
      | a fact that is not so | 0    | 1    |
      | a bound that is not kept | 0 | 1    |
      | no expected facts     | 0    | 1    |
      | no events             | 0    | 1    |
      | another session's reducer | 0 | 1   |

  # Guards against a trace without a statement that passes unnoticed.
  Scenario: A trace without a statement fails
    Given a trace of an entry that refuses 3 requests since it has no state
    And its statement is missing
    When the trace is replayed
    Then the last line is "property unreadable: traces=1 held=0"
    And the exit code is 1

  # Guards against a compressed trace that cannot be read, or is passed over.
  Scenario Outline: A compressed trace that is <state> holds <held> of 1
    Given a trace of an entry that refuses 3 requests since it has no state
    And its statement has no defect
    And the trace is compressed and <state>
    When the trace is replayed
    Then the last line is "property not_run_is_true: traces=1 held=<held>"
    And the exit code is <code>

    Examples:
      | state     | held | code |
      | whole     | 1    | 0    |
      | truncated | 0    | 1    |

  # Guards against a statement whose property is misspelt and so counts for none.
  Scenario: A trace of an unknown property fails
    Given a trace of an entry that refuses 3 requests since it has no state
    And its statement has another property
    When the trace is replayed
    Then the last line is "property unreadable: traces=1 held=0"
    And the exit code is 1

  # Guards against decisions that differ from those recorded under faults, and against
  # a property that loses its last trace.
  Scenario: The recorded traces hold
    When the traces of the repository are replayed
    Then each of the ten properties has traces and all of them hold
    And the exit code is 0

  # Guards against a check of the recorded traces that passes whatever is stated.
  Scenario: A recorded trace whose stated outcome was changed fails
    When the traces of the repository are replayed with a changed outcome
    Then one trace does not hold
    And the exit code is 1

  # Guards against facts that stay 0 whatever an entry or a planner does.
  Scenario Outline: A run in which <what> is told by the fact <fact>
    Then the fact <fact> is 1 when <what>, and 0 otherwise

    Examples:
      | what                                           | fact |
      | a request runs twice                           | sends_twice |
      | a sent request is refused as not run           | sends_then_not_run |
      | a team runs more than it holds                 | sends_over_limit |
      | a key works after its withdrawal               | sends_with_withdrawn_key |
      | a leaving endpoint gets a request              | sends_to_leaving |
      | a request ends twice                           | ends_twice |
      | a request never ends                           | ends_missing |
      | an older configuration returns                 | config_reverts |
      | an instance stops with work                    | stops_undrained |
      | a drain leaves too few instances               | stops_below_budget |
      | an instance changes its pool without a move    | pool_changes_without_move |
      | a drain is read from the log                   | read.DrainStarted |
      | a read of the log fails                        | log_failures |
      | a team runs as much as it holds                | sends_at_limit |
