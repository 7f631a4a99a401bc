Feature: What operators and endpoints write is followed

  # Guards against a node that reads version after version over a slow link after an
  # outage, and never has the one in force.
  Scenario: After an outage only the newest version is read
    Given a change feed that was read 3 s ago, and 40 versions since
    When its changes are asked for
    Then 1 records were read from the store
    And the newest version is among the changes

  # Guards against changes that are missed when the newest records can't be read.
  Scenario: While the newest records can't be read, readings go on from the offset
    Given a change feed that was read 3 s ago, and 40 versions since
    And the newest records can't be read
    When its changes are asked for
    Then the newest version is among the changes

  # Guards against a node that stays behind for good, since new versions come as fast as
  # it reads the old ones.
  Scenario: What is behind by more than one reading catches up at once
    Given a change feed that was read just now, and 40 versions since, 2 in each reading
    When its changes are asked for
    Then 3 records were read from the store
    And the newest version is among the changes
