Feature: The scheduler keeps its rules when endpoints, store and nodes fail
  Endpoints have 16 cores and serve queue q; node a holds the term. "Steps 6x1000 then
  4x500" are six tasks of 1000 ms followed by four of 500 ms. The stand-in records each
  violation of a rule on running work under one of these names: twice, order, budget,
  route, unasked, drain, quota, avail, limit, mixed.

  # Guards against tasks that are never started and job states that are never reported.
  Scenario: A job of two steps is completed in order
    Given a scheduler with 4 endpoints
    When job j1 of steps 6x1000 then 4x500 is accepted
    And 5 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against starting a task again while its first run goes on at an endpoint that
  # the scheduler can't reach. The lease of that run must expire first.
  Scenario: A run on an unreachable endpoint is not repeated before its lease has expired
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x3000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is cut off
    And 14 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against waiting for a lease to expire where the caller allows several runs of
  # a task at the same time.
  Scenario: A task that allows duplicate runs does not wait for a lease to expire
    Given a scheduler with 4 endpoints
    And workspace w has an upper limit of 32000 millicores
    When job j1 of steps 8x1000 that allows duplicate runs is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is cut off for 8 seconds
    And 4.4 seconds pass
    Then job j1 is completed
    When 10 seconds pass
    Then no rule was broken
    And workspace w uses no capacity

  # Guards against a third run of a task whose first run has ended. The end of the first
  # run was received while the second one was running, and then the endpoint of the
  # second one became unreachable too.
  Scenario: The first duplicate run that ends counts although another one is running
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x4000 that allows duplicate runs is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is cut off for 3.3 seconds
    And 3 seconds pass
    And the endpoint of the newest run of task 0 of j1 is cut off for 3 seconds, 1.5 seconds from now
    And 20 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against reports of the end of abandoned runs that end the runs which have
  # replaced them.
  Scenario: A reconnected endpoint does not affect the runs that replaced its own
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x6000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 is cut off for 6.5 seconds
    And 20 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against status polls that extend the leases of a crashed endpoint without
  # end.
  Scenario: A job is completed although an endpoint crashes and stays down
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x3000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 crashes
    And 12 seconds pass
    Then job j1 is completed

  # Guards against waiting for a lease on an endpoint that has restarted and thus has
  # lost its runs.
  Scenario: Runs of an endpoint that restarted are repeated at once
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x2000 is accepted
    And 0.5 seconds pass
    And the endpoint of task 0 of j1 restarts with the same id
    And 4 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a second run of a task, since the refusal of a repeated start order
  # counted also for an earlier one that was still under way.
  Scenario: A start order is refused while an earlier one is under way
    Given a scheduler with 3 endpoints
    And start orders of j1 are not sent, carried out after 1 second, and refused in turn
    When job j1 of 1 lasting tasks is accepted
    And 40 jobs of steps 1x100 are accepted over 2 seconds
    And 4 seconds pass
    Then 1 lasting tasks of j1 are running
    And no rule was broken

  # Guards against tasks of a cancelled job that run on, since the stop order that a
  # successor sent before its first poll was lost and not repeated.
  Scenario: A stop order of a successor is lost
    Given a scheduler with 3 endpoints
    When job j1 of 2 lasting tasks is accepted
    And 3 seconds pass
    And node a is killed after 0 seconds
    And 1 seconds pass
    And job j1 is cancelled
    And the next 2 stop orders are lost
    And node b takes the term after 0 seconds
    And 3 seconds pass
    Then no task is running

  # Guards against a task that waits for the end of a run that does not exist: its stop
  # was repeated, and each answer made the polls sent before it void.
  Scenario: A stopped run that never started does not hold its task for ever
    Given a scheduler with 2 endpoints
    And 0 of the responses to orders are lost and 1 of orders are carried out late
    When job j1 of 4 lasting tasks is accepted
    And 0.1 seconds pass
    And every endpoint refuses starts
    And orders are carried out in time again
    And 1 seconds pass
    And every endpoint accepts starts again
    And 7 seconds pass
    Then 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a second run of tasks that a predecessor started on an endpoint after
  # its restart, while the store still has the report from before the restart.
  Scenario: A successor keeps runs of an incarnation that the store does not show yet
    Given a scheduler with 2 endpoints
    When every endpoint restarts with the same id, cut off from the store
    And 11 seconds pass
    And job j1 of steps 8x6000 is accepted
    And 1 seconds pass
    And node a is killed after 0 seconds
    And node b takes the term after 2 seconds
    And 8 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against a second run of a task when the response to its start order is lost,
  # or when the order is carried out late.
  Scenario Outline: Orders without a response never run a task twice
    Given a scheduler with 4 endpoints and seed <seed>
    And <lost> of the responses to orders are lost and <late> of orders are carried out late
    When 20 jobs of steps 6x800 then 4x500 are accepted over 5 seconds
    And 40 seconds pass
    Then all jobs are completed
    And no rule was broken

    Examples:
      | seed | lost | late |
      | 1    | 0.3  | 0.0  |
      | 2    | 0.0  | 0.2  |
      | 3    | 0.2  | 0.1  |
      | 4    | 0.1  | 0.3  |

  # Guards against a second run of a task that started and ended before its start order
  # was repeated. The order had no response, and the endpoint refuses the repeated one.
  Scenario: A run that ended before its repeated order is not started again
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x200 is accepted while responses to orders are lost
    And 0.7 seconds pass
    And responses to orders arrive again
    And 1.5 seconds pass
    And responses to polls are no longer delayed
    And 6 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against abandoning a run because the repeated order was refused, although the
  # first order, which had no response, was carried out.
  Scenario: An order without a response may have been carried out even if its repeat is refused
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x1500 is accepted while responses to orders are lost
    And 0.1 seconds pass
    And every endpoint refuses starts
    And responses to orders arrive again
    And 1 seconds pass
    And responses to polls are no longer delayed
    And every endpoint accepts starts again
    And 8 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a task that waits for ever for the end of a run which its endpoint has
  # never started. The order was lost, its repeat was refused, and the endpoint answers
  # each stop order between the sending of a poll and its answer.
  Scenario: A task starts again if its order was lost and the repeat was refused
    Given a scheduler with 4 endpoints
    When start orders are lost
    And job j1 of steps 8x1500 is accepted
    And 0.5 seconds pass
    And every endpoint refuses starts
    And start orders arrive again
    And 1 seconds pass
    And every endpoint accepts starts again
    And 8 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a scheduler that starts tasks which are running already under the
  # previous one.
  Scenario Outline: Another node takes over at any moment
    Given a scheduler with 4 endpoints and seed <seed>
    When 12 jobs of steps 6x800 then 4x500 are accepted over 2 seconds
    And node a is killed after <after> seconds
    And node b takes the term after 2 seconds
    And 25 seconds pass
    Then all jobs are completed
    And no rule was broken

    Examples:
      | seed | after |
      | 1    | 0.1   |
      | 2    | 0.52  |
      | 3    | 0.9   |
      | 4    | 1.31  |
      | 5    | 2.7   |

  # Guards against work that is repeated, lost or never settled when a scheduler dies
  # between the two appends of a commit.
  Scenario Outline: Only the <part> part of the last commits is durable when a node dies
    Given a scheduler with 4 endpoints and seed <seed>
    When 12 jobs of steps 6x800 then 4x500 are accepted over 2 seconds
    And the store persists only the <part> part of commits
    And node a is killed after <after> seconds
    And the store persists whole commits again
    And node b takes the term after 1 seconds
    And 25 seconds pass
    Then all jobs are completed
    And no rule was broken

    Examples:
      | part   | seed | after |
      | runs   | 1    | 0.3   |
      | runs   | 2    | 1.4   |
      | shared | 1    | 0.3   |
      | shared | 2    | 1.4   |

  # Guards against a job that stays open because only the ledger still has the end of
  # its last run.
  Scenario: A job whose runs have ended is settled although its endpoints restarted
    Given a scheduler with 4 endpoints
    When job j1 of steps 1x500 is accepted
    And 0.3 seconds pass
    And the store persists only the runs part of commits
    And 1 seconds pass
    And node a is killed after 0 seconds
    And the store persists whole commits again
    And every endpoint restarts with the same id
    And node b takes the term after 1 seconds
    And 1 seconds pass
    Then job j1 is completed
    And 1 runs were started
    And no rule was broken

  # Guards against a frozen scheduler that sends its pending orders when it resumes.
  Scenario: A frozen node that resumes after its term sends no more orders
    Given a scheduler with 4 endpoints
    When 12 jobs of steps 6x800 then 4x500 are accepted over 2 seconds
    And node a freezes after 1.2 seconds
    And node b takes the term after 2 seconds
    And node a resumes after 3 seconds
    And 25 seconds pass
    Then all jobs are completed
    And node a is not the scheduler
    And no rule was broken

  # Guards against a node that extends leases on the far side of a partition, unknown to
  # its successor, while the successor starts the same tasks elsewhere.
  Scenario: A successor waits for runs that only the previous node can reach
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x30000 is accepted
    And 0.5 seconds pass
    And node a reaches only the endpoint of task 0 of j1, which node b does not reach
    And node b takes the term after 2 seconds
    And 60 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against acknowledging the end of a run before it is durable.
  Scenario: The end of a run is acknowledged only when the store has it
    Given a scheduler with 4 endpoints
    When job j1 of steps 4x1000 is accepted
    And 0.5 seconds pass
    And the store goes down
    And 2 seconds pass
    Then no end of a run was acknowledged
    When node a is killed after 0 seconds
    And the store comes back
    And node b takes the term after 0 seconds
    And 10 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against runs whose placement is not stored, so that a successor could not
  # know of them.
  Scenario: Nothing is started while the store is down
    Given a scheduler with 4 endpoints
    When the store goes down
    And job j1 of steps 4x1000 is accepted
    And 3 seconds pass
    Then 0 runs were started
    When the store comes back
    And 4 seconds pass
    Then job j1 is completed

  # Guards against a run whose lease outlasts the time for which a successor waits. Its
  # commit was sent so long ago that another node may hold the term by now.
  Scenario: Nothing is started after a commit that took too long
    Given a scheduler with 4 endpoints
    And the store takes 2.5 seconds for an append
    When job j1 of steps 4x1000 is accepted
    And 8 seconds pass
    Then 0 runs were started
    When the store takes 0.01 seconds for an append again
    And 6 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against failing a job that has attempts left, and against retrying one that
  # has none.
  Scenario: A task that has used up its attempts fails its job, also after a takeover
    Given a scheduler with 4 endpoints
    And every endpoint fails its runs
    When job j1 of steps 2x1000 is accepted with 3 attempts
    And 10 seconds pass
    Then job j1 is failed
    And no rule was broken

  # Guards against a successor that does not know that a job has used up its attempts.
  Scenario: A job that failed is not started again by a successor
    Given a scheduler with 4 endpoints
    And task 0 of j1 fails everywhere
    When job j1 of steps 8x3000 is accepted with 2 attempts
    And node a is killed after 0.5 seconds
    And node b takes the term after 1 seconds
    And 15 seconds pass
    Then job j1 is failed
    And no rule was broken

  # Guards against tasks that go on running after the caller has cancelled their job.
  Scenario: A cancelled job stops
    Given a scheduler with 4 endpoints
    When job j1 of steps 8x9000 is accepted
    And 1 seconds pass
    And job j1 is cancelled
    And 1.5 seconds pass
    Then no task is running
    And job j1 is cancelled in the ledger

  # Guards against a start order for a job that was cancelled while its placement was
  # being stored.
  Scenario: A job cancelled before its placement is durable does not start
    Given a scheduler with 4 endpoints
    And the store takes 0.5 seconds for an append
    When 1 seconds pass
    And job j1 of steps 8x9000 is accepted
    And job j1 is cancelled while its placement is being stored
    And 3 seconds pass
    Then 0 runs were started
    And job j1 is cancelled in the ledger

  # Guards against losing a cancellation that arrives between the terms of two nodes.
  Scenario: A job cancelled while no node schedules is stopped by the next scheduler
    Given a scheduler with 4 endpoints
    When job j1 of 4 lasting tasks is accepted
    And 2 seconds pass
    And node a is killed after 0 seconds
    And job j1 is cancelled
    And node b takes the term after 1 seconds
    And 2 seconds pass
    Then no task is running
    And no rule was broken

  # Guards against losing all tasks of a lasting step with one endpoint, and against
  # spreading them so far that no endpoint can be lent since each runs a lasting task.
  Scenario: Lasting tasks are spread over two endpoints and no more
    Given a scheduler with 6 endpoints
    When job j1 of 5 lasting tasks is accepted
    And 1 seconds pass
    And job j2 of 5 lasting tasks is accepted
    And 1 seconds pass
    Then the tasks of j1 run on 2 endpoints, at most 3 on each
    And the tasks of j2 run on 2 endpoints, at most 3 on each
    And 2 endpoints have runs

  # Guards against lasting tasks that are not started again after the crash of their
  # endpoint.
  Scenario: Lasting tasks are started again when an endpoint crashes
    Given a scheduler with 4 endpoints
    When job j1 of 4 lasting tasks is accepted
    And 2 seconds pass
    And the endpoint of task 0 of j1 crashes
    And 8 seconds pass
    Then 4 lasting tasks of j1 are running

  # Guards against a start on an endpoint that has long begun to drain: an order without an
  # answer was repeated when the endpoint answered again.
  Scenario: An endpoint begins to drain while a start is not answered
    Given a scheduler with 1 endpoints
    When job j1 of steps 4x1000 is accepted
    And endpoint e1 is cut off for 2.8 seconds
    And 0.3 seconds pass
    And endpoint e1 begins to drain
    And 4 seconds pass
    Then 0 runs were started
    And no rule was broken

  # Guards against new runs on a draining endpoint, and against runs that are killed
  # when it shuts down.
  Scenario: A draining endpoint gets no new runs, and its lasting tasks move one by one
    Given a scheduler with 4 endpoints
    When job j1 of 4 lasting tasks with an availability budget of 1 is accepted
    And 2 seconds pass
    And the endpoint of task 0 of j1 drains
    And 4 seconds pass
    And 10 jobs of steps 4x500 are accepted over 2 seconds
    And 5 seconds pass
    Then 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a workspace whose use in several pools together exceeds its upper
  # limit.
  Scenario: A workspace stays within its upper limit
    Given a scheduler with 4 endpoints
    And workspace w has an upper limit of 8000 millicores
    When 10 jobs of steps 8x500 are accepted over 1 seconds
    And 30 seconds pass
    Then all jobs are completed
    And no rule was broken

  # Guards against a maintenance wave that kills work, exceeds its cap, or is reported
  # as completed too early.
  Scenario Outline: A wave maintains all instances within its cap
    Given a scheduler with 6 endpoints and seed <seed>
    When job j1 of 5 lasting tasks with an availability budget of 1 is accepted
    And 2 seconds pass
    And a wave over all instances, at most <most> at once, is requested
    And 8 jobs of steps 4x800 are accepted over 6 seconds
    And 40 seconds pass
    Then the wave is completed
    And 5 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | seed | most |
      | 1    | 1    |
      | 2    | 2    |
      | 3    | 3    |

  # Guards against stops of tasks at work, beyond the availability budget of their step:
  # their start was carried out without an answer, and its repeat refused.
  Scenario: The repeat of a start that has been carried out is refused
    Given a scheduler with 2 endpoints
    And 1 of the responses to orders are lost and 0 of orders are carried out late
    When job j1 of 4 lasting tasks with an availability budget of 1 is accepted
    And the responses to polls are delayed by 0.8 seconds
    And 0.2 seconds pass
    And every endpoint refuses starts
    And responses to orders arrive again
    And 2 seconds pass
    Then 4 lasting tasks of j1 are running
    And 4 runs were started
    And no rule was broken

  # Guards against spending the availability budget of a step on a planned stop while
  # the endpoint of another of its tasks does not respond.
  Scenario: Tasks on an unreachable endpoint count as unavailable
    Given a scheduler with 5 endpoints
    When job j1 of 4 lasting tasks on separate endpoints with an availability budget of 1 is accepted
    And 2 seconds pass
    And the endpoint of task 3 of j1 crashes
    And 2.5 seconds pass
    And a wave over all instances, at most 2 at once, is requested
    And 40 seconds pass
    Then 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a wave that stops all tasks of an endpoint whose responses are late.
  Scenario: Tasks on an unreachable endpoint are not stopped
    Given a scheduler with 3 endpoints
    When job j1 of 4 lasting tasks with an availability budget of 1 is accepted
    And 2 seconds pass
    And the endpoint of task 0 of j1 is cut off for 3 seconds
    And a wave over all instances, at most 3 at once, is requested
    And 40 seconds pass
    Then the wave is completed
    And 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against maintaining an instance whose newest endpoint is missing from the
  # instance list, and thereby stopping its tasks.
  Scenario: An instance list that is older than an endpoint stops no tasks
    Given a scheduler with 2 endpoints
    And the instance list does not name the endpoints
    When job j1 of 4 lasting tasks with an availability budget of 1 is accepted
    And 2 seconds pass
    And a wave over all instances, at most 2 at once, is requested
    And 40 seconds pass
    Then the wave is completed
    And 4 lasting tasks of j1 are running
    And no rule was broken

  # Guards against a wave that is reported as completed without an instance, since its
  # entry in the list could not be read.
  Scenario: An instance whose entry can't be read does not count as gone
    Given a scheduler with 3 endpoints
    And the entry of instance m-e2 in the list can't be read
    When a wave over all instances, at most 3 at once, is requested
    And 10 seconds pass
    Then the wave is not completed
    When all entries of the list can be read again
    And 10 seconds pass
    Then the wave is completed
    And no rule was broken

  # Guards against a successor that maintains an instance a second time, or omits one.
  Scenario: A wave continues under another node
    Given a scheduler with 6 endpoints
    When a wave over all instances, at most 2 at once, is requested
    And 5 seconds pass
    And node a is killed after 0 seconds
    And node b takes the term after 2 seconds
    And 30 seconds pass
    Then the wave is completed
    And every instance was maintained once
    And no rule was broken

  # Guards against preferring an endpoint that fails all its runs and thus looks the
  # least loaded.
  Scenario: An endpoint that fails all its runs gets few runs
    Given a scheduler with 4 endpoints
    And endpoint e1 fails its runs
    When 30 jobs of steps 4x500 are accepted over 10 seconds with 4 attempts
    And 10 seconds pass
    Then at least 29 jobs are completed
    And endpoint e1 got at most 13 runs
    And no rule was broken

  # Guards against an endpoint that reports good health while its runs make no progress,
  # so that every job with a task there is late. Moving a task takes two reports, one
  # second apart, a planning pass each for the stop and the start, 0.4 s for the stop,
  # and 0.7 s elsewhere: 3.6 s.
  Scenario: Tasks move away from an endpoint where they make no progress
    Given a scheduler with 4 endpoints
    When 12 jobs of steps 4x700 are accepted over 3 seconds with 4 attempts
    And runs on endpoint e1 take inf times as long
    And 24 jobs of steps 4x700 are accepted over 6 seconds with 4 attempts
    And 6 seconds pass
    Then all jobs are completed
    And at most 0 jobs took longer than 3.6 seconds
    And no rule was broken

  # Guards against avoiding endpoints as stalled because one job never ends.
  Scenario: A job far beyond its estimate marks no endpoint as stalled
    Given a scheduler with 4 endpoints
    When job j1 of steps 4x200 that takes 60 times as long is accepted
    And 20 jobs of steps 4x500 are accepted over 8 seconds with 4 attempts
    And 10 seconds pass
    Then at least 20 jobs are completed
    And no endpoint was reported as stalled

  # Guards against a frozen scheduler that resumes and continues a wave. Its fencing
  # token is rejected only by the instances to which its successor has sent an order.
  Scenario Outline: A frozen node that resumes starts no more maintenance
    Given a scheduler with 6 endpoints
    When a wave over all instances, at most 1 at once, is requested
    And 6.1 seconds pass
    And node a freezes after 0 seconds
    And node b takes the term after 1.5 seconds
    And 0.5 seconds pass
    And 4 jobs of steps 8x6000 are accepted over 1 seconds
    And node a resumes after <resumes> seconds
    And 45 seconds pass
    Then the wave is completed
    And all jobs are completed
    And node a is not the scheduler
    And no rule was broken

    Examples:
      | resumes |
      | 1.6     |
      | 2.1     |
      | 2.7     |
      | 3.5     |

  # Guards against members of a gang that start alone or under different run numbers.
  Scenario: All members of a gang start together, or none
    Given a scheduler with 4 endpoints
    When job j1 of a gang 16x1000 of 5 cores is accepted
    And 5 seconds pass
    Then 0 runs were started
    When job j2 of a gang 12x1000 of 5 cores is accepted
    And 5 seconds pass
    Then job j2 is completed

  # Guards against starting members of a gang while others of an earlier run are still
  # running.
  Scenario: A gang starts again only when no member of its previous run is left
    Given a scheduler with 4 endpoints
    When job j1 of a gang 4x9000 of 5 cores is accepted
    And 1 seconds pass
    And the endpoint of task 0 of j1 crashes
    And 5 seconds pass
    And 20 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against starting runs without a ticket in queues that require placement
  # advice.
  Scenario: Only advised endpoints run a step
    Given a scheduler with 4 endpoints
    And queue q requires placement advice
    When 5 jobs of steps 4x500 are accepted over 1 seconds
    And 10 seconds pass
    Then all jobs are completed
    And only advised endpoints have had runs

  # Guards against filling tasks that keep the tail latency of serving tasks above their
  # target.
  Scenario: Filling tasks are throttled only while they slow down serving tasks
    Given a scheduler with 1 endpoints
    When job j1 of 2 lasting tasks with a target of 100 ms is accepted
    And job j2 of 3 filling tasks is accepted
    And 3 seconds pass
    And each filling task adds 0.5 of the target to the latency of serving tasks
    And 4 seconds pass
    Then no serving task exceeds its latency target
    When each filling task adds 0.01 of the target to the latency of serving tasks
    And 15 seconds pass
    Then all filling tasks run at a rate of 100 percent
