Feature: A failure can be explained afterwards from logs and metrics

  # Guards against a loop that waits for the reader of its log.
  Scenario: A reader that stops reading does not hold up the process
    Given a log handler on a pipe that nobody reads
    When 20000 lines at level info and 5 warnings are written within one second
    Then every write returned
    And lines beyond the rate were counted by event
    When the reader reads on in the next second
    Then one line sums up what was dropped

  # Guards against lines that are dropped below the stated rate.
  Scenario: All lines below the rate are written
    Given a log handler on a pipe that is read
    When 500 lines at level info and 5 warnings are written within one second
    Then 505 whole lines were read

  # Guards against stories that leave out decisions of another node.
  Scenario: The story of a job joins the lines of all nodes
    Given log lines of two nodes, one torn, about job j1 and others
    When the story of j1 is told
    Then it has 4 lines in the order of time
    And the torn line was noticed

  # Guards against metrics that a collector can't read.
  Scenario: Metrics are given as text
    Given metrics with a counter, a gauge and a duration
    When they are read as text
    Then each has a line with its value, and the duration its buckets
