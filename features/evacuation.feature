Feature: No task starts in an evacuated data centre
  Endpoints of 16 cores; a task takes 2. All nodes learn of a request at once, and from
  then on neither a start nor an order to start in that data centre is allowed.

  # Guards against starts in a data centre whose evacuation is in force, and against runs
  # there that are stopped although nothing requires it.
  Scenario: Under load, what runs goes on and the rest starts elsewhere
    Given a scheduler with 2 endpoints in data centre a and 2 in b
    When job j1 of steps 32x3000 is accepted
    And 1 seconds pass
    And data centre b is evacuated
    And 10 jobs of steps 8x300 then 4x200 are accepted over 1 seconds
    Then 16 tasks of j1 are running in data centre b
    When 10 seconds pass
    Then all jobs are completed
    And 152 runs were started
    And no rule was broken

  # Guards against an order without an answer that is sent again after the request.
  Scenario: Start orders have been sent and not answered, and were not carried out
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When start orders are lost
    And job j1 of steps 12x500 is accepted
    And 0.4 seconds pass
    And data centre b is evacuated
    And 1 seconds pass
    And start orders arrive again
    And an endpoint joins data centre a
    And 3 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against the loss of work that has begun: the answers were lost, and the polls
  # show that the tasks run.
  Scenario: Start orders have been carried out, and their answers were lost
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When job j1 of steps 8x2000 is accepted while responses to orders are lost
    And 0.1 seconds pass
    And data centre b is evacuated
    And 1 seconds pass
    And responses to orders arrive again
    And responses to polls are no longer delayed
    And 4 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against an order for a placement that was decided on before the request and
  # becomes durable after it.
  Scenario: A placement is not durable when the request comes
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When the store goes down
    And job j1 of steps 8x500 is accepted
    And 0.1 seconds pass
    And data centre b is evacuated
    And the store comes back
    And an endpoint joins data centre a
    And 2 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against an order that was held back while the store was slow, and is sent when
  # the store is fast again. Nothing was sent, so the tasks need not wait for a proof.
  Scenario: A placement is durable, and its orders have not been sent
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When the store takes 2.5 seconds for an append again
    And job j1 of steps 8x500 is accepted
    And a placement of j1 is durable and its order is not sent
    And data centre b is evacuated
    And the store takes 0.005 seconds for an append again
    And an endpoint joins data centre a
    And 5 seconds pass
    Then job j1 is completed
    And no run was stopped
    And no rule was broken

  # Guards against a successor that repeats orders of the scheduler before it, or that
  # places tasks before it knows of the request.
  Scenario: Another node takes the term after the request
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When start orders are lost
    And job j1 of steps 8x500 is accepted
    And node a is killed after 0.1 seconds
    And data centre b is evacuated
    And start orders arrive again
    And node b takes the term after 1.3 seconds
    And 1 seconds pass
    And an endpoint joins data centre a
    And 3 seconds pass
    Then job j1 is completed
    And 8 runs were started
    And no rule was broken

  # Guards against starts by a scheduler that can't learn of the request, and by the same node
  # when the store serves it again.
  Scenario: The scheduler is cut off from the store when the request comes
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When the store is cut off from node a
    And data centre b is evacuated
    And job j1 of steps 8x500 is accepted
    And node b takes the term after 1.5 seconds
    And 1 seconds pass
    And the store serves node a again
    And 1 seconds pass
    Then 0 runs were started
    And node a is not the scheduler
    When an endpoint joins data centre a
    And 2 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a gang of which only the members outside the data centre start.
  Scenario: A gang is placed over two data centres when the request comes
    Given a scheduler with 1 endpoints in data centre a and 1 in b
    When the store takes 2.5 seconds for an append again
    And job j1 of a gang 4x500 of 8 cores is accepted
    And a placement of j1 is durable and its order is not sent
    And data centre b is evacuated
    And the store takes 0.005 seconds for an append again
    And 3 seconds pass
    Then 0 runs were started
    When an endpoint joins data centre a
    And 3 seconds pass
    Then job j1 is completed
    And 4 runs were started
    And no rule was broken

  # Guards against lasting tasks that are stopped by an evacuation, and against ones that
  # start there again after a crash.
  Scenario: Lasting tasks stay until they end, and then start elsewhere
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When job j1 of 12 lasting tasks is accepted
    And 2 seconds pass
    And data centre b is evacuated
    And an endpoint joins data centre a
    And an endpoint joins data centre a
    And 3 seconds pass
    Then 12 tasks of j1 are running in data centre b
    When every endpoint restarts with the same id
    And 7 seconds pass
    Then 12 tasks of j1 are running in data centre a
    And no rule was broken

  # Guards against a second request that ends the first one.
  Scenario: Two data centres are evacuated, one of them twice
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When an endpoint joins data centre c
    And data centre b is evacuated
    And data centre c is evacuated
    And data centre b is evacuated
    And job j1 of steps 4x200 is accepted
    And 2 seconds pass
    Then 0 runs were started
    And 2 changes of evacuations were logged
    When the evacuation of data centre c is cancelled
    And 2 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against tasks that never start there again.
  Scenario: An evacuation is cancelled
    Given a scheduler with 0 endpoints in data centre a and 2 in b
    When data centre b is evacuated
    And job j1 of steps 4x200 is accepted
    And 2 seconds pass
    Then 0 runs were started
    When the evacuation of data centre b is cancelled
    And 1 seconds pass
    Then job j1 is completed
    And no rule was broken

  # Guards against a request that is forgotten since the data centre is empty at first.
  Scenario: A data centre without endpoints is evacuated
    Given a scheduler with 0 endpoints in data centre a and 0 in b
    When data centre b is evacuated
    And an endpoint joins data centre b
    And job j1 of steps 4x200 is accepted
    And 2 seconds pass
    Then 0 runs were started
    And no rule was broken

  # Guards against a wave that waits for the end of an evacuation, and against tasks that
  # its stops let start there again.
  Scenario: A maintenance wave over an evacuated data centre
    Given a scheduler with 3 endpoints in data centre a and 3 in b
    When job j1 of 12 lasting tasks with an availability budget of 2 is accepted
    And 2 seconds pass
    And data centre b is evacuated
    And a wave over all instances, at most 2 at once, is requested
    And 33 seconds pass
    Then the wave is completed
    And every instance was maintained once
    And 12 tasks of j1 are running in data centre a
    And no rule was broken

  # Guards against jobs that are accepted without end while nothing can start, and against
  # a backlog that counts evacuated endpoints and switched-off instances as capacity.
  Scenario: All data centres are evacuated
    Given a scheduler with 2 endpoints in data centre a and 2 in b
    And a spare pool
    And 0 switched-off instances in data centre a and 2 in b
    When data centre a is evacuated
    And data centre b is evacuated
    And job j1 of steps 4x200 is accepted
    And 6 seconds pass
    Then 0 runs were started
    And a wait of 10 to 10 seconds is published
    When the evacuation of data centre a is cancelled
    And 5 seconds pass
    Then job j1 is completed
    And no wait is published
    And no rule was broken

  # Guards against a pool that stays empty, since its endpoints count as its capacity or
  # are replaced by instances of the same data centre, and against idle endpoints there
  # that are paid for during the whole evacuation.
  Scenario: The only endpoints of a pool are in the evacuated data centre
    Given a scheduler with 0 endpoints in data centre a and 3 in b
    And a spare pool
    And 3 switched-off instances in data centre a and 3 in b
    When job j1 of 16 lasting tasks is accepted
    And 1 seconds pass
    And data centre b is evacuated
    And job j2 of steps 1x200 is accepted
    And 6 seconds pass
    Then job j2 is completed
    And 16 tasks of j1 are running in data centre b
    And 2 instances of data centre b and 2 of a are in pool s
    And 1 instances of data centre b were moved
    And no rule was broken

  # Guards against a pool that waits for an instance which is on its way and can't be used.
  Scenario: An instance of the evacuated data centre is on its way to a pool
    Given a scheduler with 0 endpoints in data centre a and 1 in b
    And a spare pool
    And 3 switched-off instances in data centre a and 1 in b
    When an instance of data centre b is on its way to pool s
    And data centre b is evacuated
    And 2 seconds pass
    Then 2 endpoints of data centre a are up
    And no rule was broken
