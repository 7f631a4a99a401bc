Feature: The stand-ins fail as the platform and endpoints do
  A stand-in that is more lenient than the real system would hide faults of the product.

  # Guards against a log that loses, reorders or repeats records without an injected
  # fault.
  Scenario: The log assigns offsets in order and retains a bounded number of records
    Given a platform stand-in that keeps 3 records
    When 5 records are appended to its log
    Then the offsets were 0 to 4
    And a read from 2 returns the records 2 to 4
    And a read from 1 is answered with 410

  # Guards against a stand-in that loses the append together with its answer.
  Scenario: A lost answer leaves the record in the log
    Given a platform stand-in that keeps 100 records
    And the platform fault "lose_answers" with {"count": 1}
    When a record is appended without an answer
    And 1 records are appended to its log
    Then a read from 0 returns the records 0 to 1

  # Guards against a stand-in that loses only answers of the log: on the real platform
  # the answer to any write can be lost.
  Scenario: A task and a stop take effect although their answers are lost
    Given a platform stand-in that keeps 100 records
    And the platform fault "instance" with {"instance": "i1", "dc": "dc1", "rack": "r1"}
    And the platform fault "list_lag" with {"seconds": 0}
    And the platform fault "lose_answers" with {"count": 1, "of": "tasks"}
    And the platform fault "lose_answers" with {"count": 1, "of": "instances"}
    Then a task "a" of 1 cores with a lease of 60 s gets no answer
    And the command "renew" for task "a" is answered with 200
    And a stop of "i1" gets no answer
    And the instance list shows no instance in the end

  # Guards against long polls that miss a record, or go on waiting after a fault was
  # set.
  Scenario Outline: A long poll returns at once on a change
    Given a platform stand-in that keeps 100 records
    When a long poll waits for offset 0 and then <change>
    Then the long poll got <answer>

    Examples:
      | change                                        | answer   |
      | a record is appended                          | 1 record |
      | the fault "outage" is set to {"log": true}    | 503      |
      | the fault "cut" is set to {"dc": "dc1", "cut": true} | a close  |

  # Guards against an outage during which records are still appended, and against one
  # that cannot be ended.
  Scenario: An outage refuses appends and lists until it ends
    Given a platform stand-in that keeps 100 records
    And the platform fault "outage" with {"log": true, "list": true}
    Then an append is answered with 503
    And the instance list is answered with 503
    When the platform fault "outage" ends with {"log": false, "list": false}
    Then an append is answered with 200
    And the instance list is answered with 200

  # Guards against a log that still ends at the offset read last after an older copy was
  # restored.
  Scenario: A truncated log ends below what was read
    Given a platform stand-in that keeps 100 records
    When 5 records are appended to its log
    And the platform fault "truncate" ends with {"high": 2}
    Then a read from 0 returns the records 0 to 2
    And the next record gets offset 3

  # Guards against an instance list that is always up to date.
  Scenario: The instance list lags
    Given a platform stand-in that keeps 100 records
    And the platform fault "list_lag" with {"seconds": 1000}
    And the platform fault "instance" with {"instance": "i1", "dc": "dc1", "rack": "r1"}
    Then the instance list shows no instance
    When the platform fault "list_lag" ends with {"seconds": 0}
    Then the instance list shows "i1" as "live"
    When the platform fault "leaving" ends with {"instance": "i1"}
    Then the instance list shows "i1" as "leaving"

  # Guards against a reboot that aborts running requests or keeps the incarnation.
  Scenario: A reboot ends running requests first and changes the incarnation
    Given a platform stand-in that keeps 100 records
    And the platform fault "list_lag" with {"seconds": 0}
    And an endpoint stand-in "i1" that registers with it
    When a request of 200 ms runs while the platform reboots "i1"
    Then the request was answered with 200
    And the endpoint came back with another incarnation

  # Guards against tasks that exceed an instance's capacity, and against leases that
  # never lapse.
  Scenario: Tasks are limited by the free capacity and by their lease
    Given a platform stand-in that keeps 100 records
    And the platform fault "instance" with {"instance": "i1", "dc": "dc1", "rack": "r1"}
    Then a task "a" of 10 cores with a lease of 60 s is answered with 201
    And a task "b" of 10 cores with a lease of 60 s is answered with 409
    And the command "checkpoint" for task "a" is answered with 200
    And a task "c" of 10 cores with a lease of 0 s is answered with 201
    And task "c" gets the state "lapsed"
    And the command "renew" for task "c" is answered with 404

  # Guards against fault modes that do not behave as bench and the features rely on.
  Scenario Outline: An endpoint fails in the mode that was set
    Given an endpoint stand-in "i1" that runs alone
    And a request with id "r1" was answered
    When the endpoint is set to the mode "<mode>"
    Then the next request on the same connection gets <answer> and ran <runs> times

    Examples:
      | mode      | answer               | runs |
      | normal    | 200                  | 1    |
      | slow      | 200                  | 1    |
      | silent    | no answer            | 1    |
      | stale     | no answer            | 0    |
      | failing   | 500                  | 1    |
      | truncated | a close              | 1    |
      | crossed   | the answer of "r1"   | 1    |
      | late      | 200 after its timeout | 1    |
      | closing   | a close              | 0    |

  # Guards against an endpoint that accepts more than its slots and connections.
  Scenario: An endpoint enforces its slots and connections and counts excess
    Given an endpoint stand-in "i1" with 2 slots and 4 connections
    When 3 requests run at a time over 5 connections
    Then one request was answered with 503 and one connection was closed
    And the counts report 3 concurrent requests and 5 connections

  # Guards against a callers' stand-in whose fault counts stay 0 whatever an entry does.
  Scenario Outline: The callers count what goes wrong when an entry <does>
    Given an entry stand-in that <does> in front of an endpoint
    When 40 seeded requests are sent through it
    Then every request has exactly one outcome
    And the count <count> is above 0 and no other fault is counted

    Examples:
      | does                                   | count    |
      | answers                                | answered |
      | refuses                                | refused  |
      | tells that the outcome is unknown      | unknown  |
      | closes the connection                  | lost     |
      | sends each request twice               | doubled  |
      | gives the answer of another request    | wrong    |
      | refuses as not run what it has sent    | untrue   |

  # Guards against a stand-in that takes what the platform refuses.
  Scenario Outline: The log store refuses an append that is too large as a whole
    Given a store without records
    When a node appends <count> records of <bytes> bytes in one call
    Then the store <answer> them

    Examples:
      | count | bytes  | answer  |
      | 8     | 262144 | takes   |
      | 1     | 262145 | refuses |
      | 9     | 262144 | refuses |

  # Guards against a stand-in that answers with more than the platform does.
  Scenario Outline: The log store returns newest records in pages
    Given a store with <count> keys of <bytes> bytes
    When a page of newest records is read
    Then it has <found> of them, and there are more

    Examples:
      | count | bytes  | found |
      | 501   | 100    | 500   |
      | 5000  | 100    | 500   |
      | 80    | 100000 | 7     |
