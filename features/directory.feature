Feature: Nodes follow the records that operators and endpoints write

  # Guards against a node that reads version after version over a slow link after an
  # outage, and never reaches the one in force.
  Scenario: After an outage only the newest version is read
    Given a change feed that was read 3 s ago, and 40 versions since
    When its changes are requested
    Then 1 records were read from the store
    And the newest version is among the changes

  # Guards against missing changes when the newest records can't be read.
  Scenario: While the newest records can't be read, reads continue from the offset
    Given a change feed that was read 3 s ago, and 40 versions since
    And the newest records can't be read
    When its changes are requested
    Then the newest version is among the changes

  # Guards against a node that never catches up because new versions arrive as fast as
  # it reads the old ones.
  Scenario: A feed that is behind by more than one read catches up at once
    Given a change feed that was read just now, and 40 versions since, 2 in each read
    When its changes are requested
    Then 3 records were read from the store
    And the newest version is among the changes
