Feature: The planner program works against the platform
  Reducer, program and stand-ins run together over real sockets.

  # Guards against parts of the program that pass their own tests but do not work
  # together.
  Scenario: A planner proves an endpoint available, reboots it and closes its session
    Given a platform, an endpoint, an entry and a planner on ephemeral ports
    When an operator requests a reboot of the endpoint and it is up again
    Then the endpoint was rebooted once, after its StopRequested was in the log
    And the planner exited with code 0 and its session is closed

  # Guards against a planner that, once finished, does not fold the records before its
  # own closing record, and so reads the same record repeatedly until the close times
  # out.
  Scenario: A planner that has finished folds the records before its closing record
    Given a planner that was asked to stop and has finished
    When it reads the closing records of an entry and of itself
    Then it returns no effects and its state is at the last record

  # Guards against operators' requests that lose their connection, since the planner closed
  # it at once when it had finished.
  Scenario: A planner that is stopped answers a request that is arriving
    Given a platform, an endpoint, an entry and a planner on ephemeral ports
    When the planner is stopped while a request of an operator arrives
    Then the operator gets an answer
    And the planner exited with code 0 and its session is closed
