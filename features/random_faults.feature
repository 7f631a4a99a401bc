Feature: Lasting tasks run again after any faults

  # Guards against lasting tasks that wait for ever although there is room: endpoints that
  # had refused starts got one task at a time until one succeeded, and lasting tasks
  # never end.
  Scenario Outline: Endpoints that have failed take several lasting tasks again
    Given a scheduler with 2 endpoints
    And every endpoint <fault>
    When job j1 of 12 lasting tasks is accepted
    And 5 seconds pass
    And every endpoint works again
    And 7 seconds pass
    Then 12 lasting tasks of j1 are running
    And no rule was broken

    Examples:
      | fault          |
      | refuses starts |
      | fails its runs |

  # Guards against lasting tasks that wait although there is room for them, in the order
  # in which a day's faults happen to overlap.
  Scenario Outline: Random faults that overlap
    Given random faults of seeds <first> to <last>
    When all faults of each seed have ended
    Then each lasting task runs where there is room for it
    And no seed broke a rule

    Examples:
      | first | last |
      | 0     | 15   |
      | 93    | 93   |
      | 205   | 205  |
      | 217   | 217  |
