Feature: Recorded traces are replayed and compared with their statements
  A trace is evidence of a property only if a replay of its events gives the same
  effects and the facts stated in the file beside it hold.

  # Guards against a replay that accepts a trace whose effects or facts differ from its
  # statement, or a statement that checks nothing.
  Scenario Outline: A trace with <defect> holds <held> of 1
    Given a trace of an entry that refuses 3 requests because it has no state
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

  # Guards against a trace that passes unchecked because its statement is missing.
  Scenario: A trace without a statement fails
    Given a trace of an entry that refuses 3 requests because it has no state
    And its statement is missing
    When the trace is replayed
    Then the last line is "property unreadable: traces=1 held=0"
    And the exit code is 1

  # Guards against a compressed trace that can't be read or is skipped without a
  # failure.
  Scenario Outline: A compressed trace that is <state> holds <held> of 1
    Given a trace of an entry that refuses 3 requests because it has no state
    And its statement has no defect
    And the trace is compressed and <state>
    When the trace is replayed
    Then the last line is "property not_run_is_true: traces=1 held=<held>"
    And the exit code is <code>

    Examples:
      | state     | held | code |
      | whole     | 1    | 0    |
      | truncated | 0    | 1    |

  # Guards against a statement with a misspelt property, which would count for none of
  # the properties.
  Scenario: A trace of an unknown property fails
    Given a trace of an entry that refuses 3 requests because it has no state
    And its statement has another property
    When the trace is replayed
    Then the last line is "property unreadable: traces=1 held=0"
    And the exit code is 1

  # Guards against a change of the code that leads to other effects than those recorded
  # under faults, and against a property without any trace.
  Scenario: The recorded traces hold
    When the traces of the repository are replayed
    Then each of the ten properties has traces and all of them hold
    And the exit code is 0

  # Guards against a replay of the recorded traces that passes whatever their statements
  # contain.
  Scenario: A recorded trace fails after its stated outcome was changed
    When the traces of the repository are replayed with a changed outcome
    Then one trace does not hold
    And the exit code is 1

  # Guards against facts that stay 0 whatever an entry or a planner does, so that a
  # trace with a violation would hold.
  Scenario Outline: A run in which <what> is detected by the fact <fact>
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
