Feature: The planner program works against the platform
  The reducer, the daemon and the stand-ins meet on sockets.

  # Guards against a program whose parts pass their own tests and do not fit together.
  Scenario: A planner proves an endpoint available, reboots it and closes its session
    Given a platform, an endpoint, an entry and a planner on ephemeral ports
    When an operator orders a reboot of the endpoint and it has returned
    Then the endpoint was signalled once, after its stop was in the log
    And the planner exited with code 0 and its session is closed

  # Guards against a planner that reads one record again and again until its closing
  # record times out, since another record came first.
  Scenario: A planner that has finished folds the records before its closing record
    Given a planner that was asked to stop and has finished
    When it reads the closing records of an entry and of itself
    Then it has no effects and its state is at the last record
