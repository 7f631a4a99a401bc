Feature: A failure can be explained afterwards from logs and metrics

  # Guards against an event loop that blocks because the reader of the log has stopped.
  Scenario: A reader that stops reading does not block the process
    Given a log handler on a pipe that nobody reads
    When 20000 lines at level info and 5 warnings are written within one second
    Then every write returned
    And lines beyond the rate were dropped and counted by event
    When the reader continues in the next second
    Then one line gives the number of dropped lines by event

  # Guards against dropping lines below the stated rate.
  Scenario: All lines below the rate are written
    Given a log handler on a pipe that is read
    When 500 lines at level info and 5 warnings are written within one second
    Then 505 complete lines were read

  # Guards against a flood of warnings, one for each request of a caller.
  Scenario: Warnings of one event beyond the rate are dropped and counted
    Given a log handler on a pipe that is read
    When 1 lines at level info and 500 warnings are written within one second
    Then 101 complete lines were read

  # Guards against a histogram for each method that a caller invents.
  Scenario: Unknown methods share one metric
    Given metrics of requests with 100 invented methods
    Then they have 1 method

  # Guards against timelines of a job that omit the decisions of another node.
  Scenario: The timeline of a job joins the lines of all nodes
    Given log lines of two nodes about job j1 and others, one of them truncated
    When the timeline of j1 is assembled
    Then it has 4 lines in chronological order
    And the truncated line was reported

  # Guards against metrics in a format that a collector can't parse.
  Scenario: Metrics are rendered as text
    Given metrics with a counter, a gauge and a duration
    When they are rendered as text
    Then each has a line with its value, and the duration its buckets
