Feature: Overload is refused early and does not lower what is answered
  Each queue in turn asks about five times its mean, more than its pool holds.

  # Guards against requests that are sent so late that their answers are useless: their
  # outcome is unknown, and their slots are lost until their deadlines.
  Scenario: A queue asks five times what its pool can do
    Given a fleet of 1 entries with seed 7
    And endpoints respond after 0.3 s
    When entry e0 receives a request with a timeout of 1 s every 0.01 s for 8 s
    Then at least 130 of these requests were answered and none ended as unknown
    When 20 s pass
    Then entry e0 has no units in use
