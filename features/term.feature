Feature: One node schedules, and another takes over when it is silent

  # Guards against a term that is claimed from a scheduler that lives, or never claimed.
  Scenario Outline: When the next term is claimed
    Given a node that heard of the scheduler <sign> s ago, reads the store since <connected> s ago and read it <read> s ago
    And the term's holder is <holder>
    Then the node <claims> the next term

    Examples:
      | sign | connected | read | holder  | claims         |
      | 0.5  | 60        | 0.1  | other   | does not claim |
      | 1.7  | 60        | 0.1  | other   | claims         |
      | 1.7  | 60        | 1.5  | other   | does not claim |
      | 1.0  | 60        | 0.1  | other   | does not claim |
      | 1.2  | 60        | 0.1  | other   | claims         |
      | 1.2  | 60        | 1.5  | other   | does not claim |
      | 9.0  | 0.5       | 0.1  | other   | does not claim |
      | 9.0  | 0.9       | 0.1  | other   | claims         |
      | 0.1  | 60        | 0.1  | nobody  | claims         |
      | 0.1  | 60        | 0.1  | itself  | claims         |

  # Guards against runs that start twice: after a claim without an answer the node took
  # itself for the scheduler before, and gave up that one's runs 2 s too early.
  Scenario: A claim without an answer does not shorten the quiet time
    Given a scheduler b whose last sign is 4.3 s old
    When node a claims the next term without an answer
    And node a claims the term after it
    Then a gives up no run of b before its grants and leases have lapsed

  # Guards against leases that outlast the quiet time: they were counted from a commit
  # that other nodes did not count as a sign of the scheduler.
  Scenario: Leases are counted from commits that are signs of life
    Given a scheduler whose waits have changed
    When its renewal is due
    Then it commits a sign of life with the waits

  # Guards against claims from a scheduler whose signs a slow store delays.
  Scenario: A slow store delays a claim
    Given a store that takes 0.24 s for an answer
    And a node that heard of the scheduler 1.5 s ago, reads the store since 60 s ago and read it 0.3 s ago
    And the term's holder is other
    Then the node does not claim the next term

  # Guards against a scheduler on the smallest instance while larger ones are there.
  Scenario: Larger instances claim before smaller ones
    Then instances of 2.15, 1.07 and 0.52 cores claim in this order

  # Guards against a scheduler on a small instance for good, since that one was started a
  # little earlier than the large ones.
  Scenario: The first term goes to a large instance that starts 0.3 s later
    Given a small and a large instance, of which the large one starts 0.3 s later
    Then the large one claims the first term before the small one
