Feature: Excess load is refused early and does not lower the number of answers
  Each queue in turn gets about five times its mean load, more than its pool can handle.

  # Guards against dispatching requests so late that their answers are useless. Their
  # outcome would be unknown, and their slots would be blocked until their deadlines.
  Scenario: A queue gets five times the load that its pool can handle
    Given a fleet of 1 entries with seed 7
    And endpoints respond after 0.3 s
    When entry e0 receives a request with a timeout of 1 s every 0.01 s for 8 s
    Then at least 130 of these requests were answered and none ended as unknown
    When 20 s pass
    Then entry e0 has no units in use
