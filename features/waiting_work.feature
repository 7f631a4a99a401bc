Feature: Work that waits leaves the scheduler time for its heartbeats and leases
  The loop that plans also renews the term and the leases of all runs. 600,000 waiting
  tasks, in few large jobs or many small ones, must not hold it. The work of an event is
  measured in executed bytecode instructions, which are the same on every machine; a
  small instance executes 1,500,000 in the 50 ms that no event may take.

  # Guards against planning passes, commits and takeovers that visit every waiting task:
  # three jobs of 20,000 overdue occurrences that no endpoint could run ended every term.
  Scenario Outline: No event takes long, however much work waits
    Given <jobs> that wait because of <obstacle>
    Then no event of the scheduler or of its successor executes over 1,500,000 instructions

    Examples:
      | jobs                         | obstacle       |
      | 3 jobs of 20,000 occurrences | no label       |
      | 30 jobs of 20,000 occurrences | no label      |
      | 30 jobs of 20,000 occurrences | too large     |
      | 30 jobs of 20,000 occurrences | no room       |
      | 30 jobs of 20,000 occurrences | beyond a limit |
      | 30 jobs of 20,000 tasks      | no label       |
      | 30 jobs of 20,000 tasks      | no room        |
      | 30 jobs of 20,000 tasks      | beyond a limit |
      | 30 jobs of 2,000 steps       | no label       |
      | 30 jobs of 2,000 steps       | no room        |
      | 30 jobs of 2,000 steps       | different sizes |
      | 6,000 jobs of 100 tasks      | no label       |
      | 6,000 jobs of 100 tasks      | no room        |
      | 6,000 jobs of 100 tasks      | beyond a limit |

  # Guards against gauges and admission that count waiting work task by task.
  Scenario Outline: The figures that a node reports take no time for waiting tasks
    Given <jobs> that wait because of no room
    Then the count of waiting tasks is 600,000 and takes under 1,500,000 instructions

    Examples:
      | jobs                    |
      | 30 jobs of 20,000 tasks |
      | 6,000 jobs of 100 tasks |

  # Guards against steps that are never looked at because those before them in their job
  # fill the part of it that a planning pass ranks.
  Scenario: Each ready step of a job is considered within 3 seconds
    Given a scheduler with 6 endpoints
    When half of each endpoint is in use by lasting tasks
    And 8 jobs of 10000 steps are accepted that have no room
    And a job of 10000 steps is accepted, of which only the last 20 have room
    And 3 seconds pass
    Then the last 20 steps of that job are done or running
    And no rule was broken

  # Guards against a page of the ledger whose large jobs are all added in one go, and
  # against cancellations that overtake the jobs that they concern.
  Scenario: The large jobs of one page are added one after the other
    Given a node that schedules, and a page with 5 jobs of 3,000 steps, each cancelled
    When the page is read
    Then no more than one job has been added in any iteration of the loop
    And all 5 jobs have been added and cancelled

  # Guards against small jobs that wait for seconds behind thousands of others that can't
  # start, since their planning pass is cut into slices.
  Scenario: A job that has room starts within a second beside thousands that have none
    Given a scheduler with 6 endpoints
    When half of each endpoint is in use by lasting tasks
    And 3000 jobs are accepted that have no room
    And job small of steps 2x500 is accepted
    And 1 seconds pass
    Then job small has begun

  # Guards against occurrences that are lost or overtaken because they are opened late.
  Scenario: All overdue occurrences of a schedule run, in their order
    Given a scheduler with 6 endpoints
    When a schedule of 300 overdue occurrences of one task is accepted
    And 60 seconds pass
    Then its occurrences have begun in their order
    And all jobs are completed
    And no rule was broken

  # Guards against a step that is given up as unservable, and waits for good although an
  # endpoint that could run it has appeared since.
  Scenario Outline: Work that no endpoint could run starts once <change>
    Given a scheduler with 6 endpoints
    When work that needs <need> is accepted
    And 3 seconds pass
    Then that work waits
    When <change>
    And 4 seconds pass
    Then that work has begun
    And no rule was broken

    Examples:
      | need                | change                                |
      | label special       | an endpoint of kind special joins     |
      | label special       | an endpoint restarts as kind special  |
      | 32 cores            | an endpoint of 64 cores joins         |
      | more than its limit | its workspace's limit is raised       |
      | a gang of 50        | 2 endpoints of 16 cores join          |

  # Guards against steps that depend on one that can't run, and against a job whose other
  # steps wait for the one that can't.
  Scenario: The steps of a job that can run do so beside one that can't
    Given a scheduler with 6 endpoints
    When a schedule of 200 overdue occurrences is accepted, one of whose steps can't run
    And 60 seconds pass
    Then the other step of each occurrence is done

  # Guards against walking all tasks of a cancelled job at the end of each run, and
  # against sending thousands of stop orders in one event.
  Scenario: A job of thousands of running tasks is cancelled in short events
    Given a job of 4,000 tasks that run on 8 endpoints
    When it is cancelled and all runs end
    Then it is cancelled, and no event executed over 1,500,000 instructions

  # Guards against work that grows faster than the number of stopped runs: 1,786 of 8,000
  # cancelled tasks still ran 40 s after the acknowledgement.
  Scenario: The work of cancelling grows in proportion to the running tasks
    Given a job of 500 tasks that run on 8 endpoints
    When it is cancelled and all runs end
    And a job of 2,000 tasks that run on 8 endpoints is cancelled and all runs end
    Then that took at most 5 times the work

  # Guards against runs that a successor takes for orphans, or misses, because the jobs
  # of the ledger are restored piece by piece.
  Scenario: A takeover amid thousands of jobs loses no run and stops none
    Given a scheduler with 6 endpoints
    When half of each endpoint is in use by lasting tasks
    And job service of 12 lasting tasks is accepted
    And 3000 jobs are accepted that have no room
    And 3 seconds pass
    And node b takes the term after 0 seconds
    And 6 seconds pass
    Then 12 lasting tasks of service are running
    And 18 runs were started
    And no rule was broken

  # Guards against a node that runs out of memory since nothing bounds the open work, and
  # against a bound that refuses the work of other workspaces.
  Scenario: What exceeds the bound on open work is refused at once, others' is not
    Given an intake whose ledger has 12 open jobs of 8,000 steps of workspace large
    When workspace large submits a job of 8,000 steps
    Then it is refused as not accepted, with a time to return
    When workspace large submits the first of those jobs again
    Then it is accepted
    When workspace small submits a job of 2 steps
    Then it is accepted
    When 6 of those jobs end
    And workspace large submits a job of 8,000 steps
    Then it is accepted
