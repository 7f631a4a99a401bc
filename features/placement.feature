Feature: Tasks are placed by their observed usage, within their team's upper limit
  Workers have 16 cores and 32 GB; team red has 9 units, team blue has 100.

  # Guards against workers that stay half empty because tasks declare far more than they
  # use.
  Scenario: Observed usage replaces the declared size after the first report
    Given a running fleet with budget 0 and seed 1 and team blue with 100 units
    When 20 tasks of blue that declare 8 cores and use 1 are submitted in a
    And 30 seconds pass
    Then 20 tasks of blue run
    And the invariants held at every offset

  # Guards against a task that can never run and blocks the tasks behind it.
  Scenario: A task that fits no worker is reported once
    Given a running fleet with budget 0 and seed 2 and team blue with 100 units
    When 1 urgent tasks of blue that declare 17 cores and use 17 are submitted in a
    And 3 tasks of blue that declare 2 cores and use 2 are submitted in a
    And 20 seconds pass
    Then 3 tasks of blue run
    And event 3502 was logged once

  # Guards against preferring a worker that looks empty because every task on it fails.
  Scenario: A worker that fails its starts is avoided
    Given a running fleet with budget 0 and seed 3 and team blue with 100 units
    And 15 instances of pool press in 1 racks a data centre and team blue
    When worker a11 fails every task
    And 20 tasks of blue that declare 2 cores and use 2 are submitted in a
    And 120 seconds pass
    Then 20 tasks of blue run
    And worker a11 got at most 6 tasks

  # Guards against starting a task that is cancelled in the same planning pass.
  Scenario: A batch of cancellations is handled before any placement
    Given a running fleet with budget 0 and seed 4 and team blue with 100 units
    When 50 tasks of blue that declare 2 cores and use 2 are submitted and cancelled in a
    And 1 tasks of blue that declare 16 cores and use 16 are submitted in a
    And 5 seconds pass
    Then 1 tasks of blue run
    And 1 tasks were started

  # Guards against urgent tasks that wait behind tasks of lower priority on full
  # workers.
  Scenario: Urgent tasks start within 2.3 s on full workers
    Given a running fleet with budget 0 and seed 5 and team blue with 100 units
    When 40 tasks of blue that declare 2 cores and use 2 are submitted in a
    And 10 seconds pass
    And 3 urgent tasks of blue that declare 12 cores and use 12 are submitted in a
    Then the urgent tasks started within 2.3 seconds

  # Guards against a team that exceeds its upper limit while two planners have tasks of
  # it.
  Scenario: The upper limit holds while another planner takes over
    Given a running fleet with budget 0 and seed 6 and team blue with 100 units
    When 20 tasks of red that declare 1 cores and use 1 are submitted in a
    And 10 seconds pass
    Then 9 tasks of red run
    When 20 tasks of red that declare 1 cores and use 1 are submitted in b
    And process pa stops responding
    And 20 seconds pass
    And the command "end pa" is given
    And 60 seconds pass
    Then 9 tasks of red run
    And the invariants held at every offset

  # Guards against tasks that end together with the planner that started them.
  Scenario: Tasks continue under the next planner
    Given a running fleet with budget 0 and seed 10 and team blue with 100 units
    When 8 tasks of blue that declare 2 cores and use 2 are submitted in a
    And 10 seconds pass
    And process pa stops responding
    And 90 seconds pass
    Then 8 tasks of blue run
    And 8 tasks were started

  # Guards against a planned stop of an instance that kills a task without a checkpoint.
  Scenario: Tasks leave an instance before its planned stop
    Given a running fleet with budget 0 and seed 7 and team blue with 100 units
    When 24 tasks of blue that declare 2 cores and use 2 are submitted in a
    And 10 seconds pass
    And the platform accepts no task commands for 8 seconds
    And the command "drain a11 reboot" is given
    Then instance a11 is available in pool press within 60 seconds
    And each task on a11 was checkpointed before the stop
    And the invariants held at every offset

  # Guards against an attempt that runs on beside the one that has replaced it.
  Scenario: A start that takes effect after it was abandoned is stopped
    Given a running fleet with budget 0 and seed 11 and team blue with 100 units
    When 1 tasks of blue that declare 2 cores and use 2 are submitted in a
    And the first start takes effect 20 seconds late and its response is lost
    And 32 seconds pass
    Then 1 tasks of blue run
    And 2 tasks were started

  # Guards against losing all tasks of a team together with one rack.
  Scenario: Tasks go to the spare pool first and are spread over racks
    Given a running fleet with budget 0 and seed 8 and team blue with 100 units
    And 18 instances of pool press in 3 racks a data centre and team blue
    When 3 tasks of blue that declare 16 cores and use 16 are submitted in a
    And 5 seconds pass
    Then the tasks use instance as and 3 racks
