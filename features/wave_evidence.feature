Feature: A wave is complete when each of its instances has had its maintenance or is gone
  That a wave is complete is final. What shows that an instance has left the platform has
  to begin after the wave was read; a list that lacks an instance may be older than it.

  # Guards against judging a wave by a list from before it: a wave for new instances was
  # said to be completed at once, and none of them ever had its maintenance.
  Scenario: Instances that came after the newest list have their maintenance
    Given a scheduler with 4 endpoints
    When wave 1 over e1 is requested and 8 seconds pass
    And instances n1,n2 come and 8 seconds pass
    And wave 2 over n1,n2 is requested and 12 seconds pass
    Then n1,n2 have had their maintenance for wave 2
    And wave 2 is said to be completed, and was not before

  # Guards against a list that was requested before the wave and arrives after it.
  Scenario: A list that is under way when a wave is requested shows nothing about it
    Given a scheduler with 4 endpoints
    And lists of instances take 1.2 seconds
    When wave 1 over e1 is requested and 4.5 seconds pass
    And instances n1 come
    And wave 2 over n1 is requested and 14 seconds pass
    Then n1 have had their maintenance for wave 2
    And wave 2 is said to be completed, and was not before

  # Guards against a wave that is complete before instances appear that it names.
  Scenario: Instances that come after their wave was requested have their maintenance
    Given a scheduler with 4 endpoints
    When wave 1 over e1,n1 is requested and 7 seconds pass
    And instances n1 come and 12 seconds pass
    Then e1,n1 have had their maintenance for wave 1
    And wave 1 is said to be completed, and was not before

  # Guards against waiting for instances that have left the platform.
  Scenario: A wave ends soon after an instance of it has left
    Given a scheduler with 4 endpoints
    When wave 1 over e1,e2 is requested while e2 leaves the platform
    And 9 seconds pass
    Then e1 have had their maintenance for wave 1
    And wave 1 is said to be completed, and was not before

  # Guards against a wave that is never complete, since it names what does not exist.
  Scenario: A wave over an unknown instance ends in time
    Given a scheduler with 4 endpoints
    When wave 1 over e1,unknown is requested and 20 seconds pass
    Then wave 1 is not said to be completed
    When 9 seconds pass
    Then wave 1 is said to be completed, and was not before

  # Guards against a single list that lacks an instance by chance.
  Scenario: One list without an instance does not show that it has left
    Given a scheduler with 4 endpoints
    And every second list lacks instance e2, which has no endpoint
    When wave 1 over e2 is requested and 12 seconds pass
    Then e2 have had their maintenance for wave 1
    And wave 1 is said to be completed, and was not before

  # Guards against a refused order that counts as maintenance.
  Scenario Outline: An instance whose order is answered with <outcome> is not done
    Given a scheduler with 4 endpoints
    And orders for maintenance are answered with <outcome> for 9 seconds
    When wave 1 over e1 is requested and 8 seconds pass
    Then wave 1 is not said to be completed
    And at most 12 orders for maintenance were sent
    When 8 seconds pass
    Then e1 have had their maintenance for wave 1
    And wave 1 is said to be completed, and was not before

    Examples:
      | outcome   |
      | refused   |
      | busy      |

  # Guards against a successor that reports a completed wave as running, or judges it anew.
  Scenario: A wave that is completed stays so after a takeover
    Given a scheduler with 4 endpoints
    When wave 1 over e1,e2 is requested while e2 leaves the platform
    And 9 seconds pass
    And node b takes the term after 0 seconds
    And 6 seconds pass
    Then wave 1 is said to be completed, and was not before
    And wave 1 was never said to be running after that

  # Guards against a successor that doesn't know which instances its predecessor has seen.
  Scenario: A successor ends a wave over an instance that has left before its term
    Given a scheduler with 4 endpoints
    When wave 1 over e1,e2 is requested and 3.2 seconds pass
    And instance e2 leaves the platform
    And node b takes the term after 0 seconds
    And 12 seconds pass
    Then wave 1 is said to be completed, and was not before

  # Guards against ignoring what an operator has written anew under a wave's number.
  Scenario: A wave that is requested anew with other instances is carried out
    Given a scheduler with 4 endpoints
    When wave 1 over e1 is requested and 8 seconds pass
    And wave 1 over e1,e2 is requested and 8 seconds pass
    Then e1,e2 have had their maintenance for wave 1
    And each of e1,e2 had it once

  # Guards against a successor that finds the wave completed as it was requested before.
  Scenario: A wave that is requested anew during a takeover is carried out
    Given a scheduler with 4 endpoints
    When wave 1 over e1 is requested and 8 seconds pass
    And wave 1 over e1,e2 is requested while node b takes the term
    And 12 seconds pass
    Then e1,e2 have had their maintenance for wave 1
    And each of e1,e2 had it once

  # Guards against a list that was requested before an instance was ordered away, and
  # shows it as it was.
  Scenario: A list from before an order does not undo what the order has changed
    Given a scheduler with 4 endpoints
    When an instance is moved while a list is under way that shows it in its old pool
    Then the scheduler knows it in its new pool
