Feature: Turns of the queues are learned and predicted
  Poisson arrivals in turns, without a scheduler around the forecast. A long queue sends 7
  jobs a second in its turn and 0.1 between turns, a short one 45 and 0.5.

  # Guards against begins that are found late, or found where there are none, on queues
  # with few jobs as well as on those with many; seeds 1 to 20.
  Scenario Outline: Begins, ends and heights are found
    Given queues with turns of <turn> s and gaps of <gap> s, <rates> jobs a second
    When they send for 36 s
    Then <found> % of the begins are known <delay> s after they came
    And <found> % of the learned begins and ends are within <error> s
    And the learned heights are within 35 % on the mean
    And at most 5 % of the turns found are none

    Examples:
      | turn | gap | rates          | found | delay | error |
      | 4.5  | 0   | 45, 45, 45, 45 | 95    | 0.2   | 0.2   |
      | 4.5  | 0   | 7, 7, 7, 7     | 88    | 1.0   | 0.7   |
      | 4.5  | 0   | 45, 7, 45, 7   | 90    | 1.0   | 0.7   |
      | 5    | 3   | 45, 7, 45, 7   | 90    | 1.0   | 0.7   |
      | 2.5  | 1   | 45, 7, 45, 7   | 85    | 1.0   | 0.7   |

  # Guards against a chain of turns that isn't used before its second round is over.
  Scenario Outline: From the fourth turn on, begins are predicted
    Given queues with turns of <turn> s and gaps of <gap> s, <rates> jobs a second
    When they send for 36 s
    Then from turn 4 on, <part> % of the begins are predicted 1.8 s ahead, within 0.8 s

    Examples:
      | turn | gap | rates          | part |
      | 4.5  | 0   | 45, 7, 45, 7   | 80   |
      | 5    | 3   | 45, 7, 45, 7   | 65   |
      | 2.5  | 1   | 45, 7, 45, 7   | 75   |

  # Guards against demand that is forecast where no turns are; seeds 1 to 20.
  Scenario Outline: Without turns nothing is asked for
    Given four queues with <arrivals> arrivals
    When they send for 36 s
    Then no demand was forecast

    Examples:
      | arrivals     |
      | no           |
      | steady few   |
      | steady many  |
      | rising       |

  # Guards against demand that is forecast by chance; the scenario after it bounds how
  # often that happens now.
  Scenario: Erratic arrivals are never taken for turns
    Given four queues with random arrivals
    When they send for 36 s
    Then no demand was forecast

  # Guards against chance that is taken for regularity: rates that change by a factor of
  # e every second. Some coincidence remains; its cost is bounded.
  Scenario: Erratic arrivals are rarely taken for turns
    Given four queues with random arrivals
    When they send for 36 s
    Then demand was forecast on at most 3 of 20 days

  # Guards against a forecast that is spoilt by acceptance times from a node whose clock
  # jumps: a tenth of the jobs are dated 3 s early or late.
  Scenario Outline: Clocks that jump don't spoil what a successor learns
    Given queues with turns of 4.5 s and gaps of 0 s, 45, 7, 45, 7 jobs a second
    And a tenth of the jobs is dated <off> s off
    When they send for 24 s
    And a successor learns from the jobs
    Then 90 % of the successor's begins are within 0.7 s
    And the successor predicts the same queue within 0.7 s in 60 % of the cases

    Examples:
      | off |
      | 3   |
      | -3  |

  # Guards against a successor whose forecast a tenth of misdated jobs spoils; the scenario
  # before it bounds how often that happens now.
  Scenario Outline: A successor predicts what its predecessor did, in spite of clocks
    Given queues with turns of 4.5 s and gaps of 0 s, 45, 7, 45, 7 jobs a second
    And a tenth of the jobs is dated <off> s off
    When they send for 24 s
    And a successor learns from the jobs
    Then the successor predicts the same queue within 0.7 s in 90 % of the cases

    Examples: offsets
      | off |
      | 3   |
      | -3  |

  # Guards against lending without end for turns that no longer come.
  Scenario: A queue with two wrong predictions gets nothing until two were right
    Given turns of pools a, b, c, d every 4.5 s, of which d skips rounds 3 and 5
    When 9 rounds have passed
    Then capacity was asked for pool d in rounds 1, 2, 3, 5 and 9
    And no demand of pool d was held longer than 1 s after the expected begin

  # Guards against a scheduler that ends with an error when more queues than it remembers
  # turns send a few jobs at once.
  Scenario: Short bursts of many queues at once are no turns
    Given 100 queues that send 10 jobs each within the same 0.3 s
    When they have been quiet for 10 s
    Then no turn was learned

  # Guards against a scheduler that ends its term, and each successor its own, when a turn
  # ends and the next one is expected of a queue that has sent nothing yet.
  Scenario: The next turn is expected of a queue that has sent nothing
    Given pools a, b and c that had turns of 4.5 s, one after another
    When they have been quiet for 10 s, and pool d has sent nothing
    Then the next turn was expected of pool d
