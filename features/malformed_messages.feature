Feature: A malformed message or an unexpected error does not end a process

  # Guards against a reader that stops at a record without a readable key, and never
  # reads the ones after it.
  Scenario Outline: An unreadable record does not hide the ones after it
    Given a page of the store with the record <record> between two good ones
    When a node reads the page
    Then it gets the two good records, and goes on after the third

    Examples:
      | record     |
      | empty      |
      | ff         |
      | 02fffe0102 |
      | 0561       |

  # Guards against keys that count as removed, since the pages after an empty one were not
  # read.
  Scenario: A page without records does not end a list that has more
    Given the newest records of the store, in pages without records
    When a node reads the newest records
    Then the store counts as unavailable

  # Guards against 'nothing was appended' where the store does not say so: the job would
  # be refused as not run although it may run.
  Scenario Outline: Only statuses that say so mean that nothing was appended
    Given a store that answers an append with <status> and body <body>
    When a node appends a record
    Then the append is <outcome>

    Examples:
      | status | body                           | outcome     |
      | 200    | {"offset": 1, "end_offset": 2} | done        |
      | 200    | {"offset": "x"}                | unknown     |
      | 200    | (nothing)                      | unknown     |
      | 409    | {"reason": "fenced"}           | fenced      |
      | 400    | (nothing)                      | rejected    |
      | 403    | (nothing)                      | rejected    |
      | 412    | {"end_offset": 7}              | unavailable |
      | 429    | (nothing)                      | unavailable |
      | 503    | (nothing)                      | unavailable |
      | 507    | (nothing)                      | unavailable |
      | 500    | (nothing)                      | unknown     |
      | 502    | (nothing)                      | unknown     |
      | 504    | (nothing)                      | unknown     |

  # Guards against polls and listings that stop for good: an exception left the poll or
  # the listing marked as in progress.
  Scenario Outline: Malformed answers of <service> are decoded, or refused
    Then 400 generated answers of <service> raise nothing, with seed 7

    Examples:
      | service              |
      | an endpoint          |
      | the machines list    |
      | the advice service   |
      | the store            |
      | an endpoint's report |
      | the operators        |

  Scenario: A machine with an unknown state does not hide the others
    Given a list of machines in the states up, melting and down
    Then the machines that are up and down are listed

  # Guards against one job that ends each node that schedules, in turn: by memory, by
  # amounts that count down the use of an endpoint, or by figures that no record holds.
  Scenario Outline: A submission that no scheduler can hold is refused
    Given the submission <body>
    Then the submission is refused, and the message names <setting>

    Examples:
      | body                                                              | setting      |
      | {"steps": [{"count": 1000000000}]}                                | count        |
      | {"steps": [{"count": 200}], "repetitions": 1000000}               | tasks        |
      | {"steps": [{"count": 15000}, {"count": 15000}]}                   | tasks        |
      | {"steps": [{"count": 1, "cpu": -500}]}                            | cpu          |
      | {"steps": [{"count": 1, "memory_request_mb": 1e30}]}              | memory       |
      | {"steps": [{"count": 1, "estimated_ms": 1e300}]}                  | estimated_ms |
      | {"steps": [{"count": 1}], "interval_ms": -1, "repetitions": 2}    | interval_ms  |
      | {"steps": [{"count": 1}], "first_run_ms": 99999999999999999999}   | first_run_ms |

  Scenario: Generated submissions are refused, or can be stored and scheduled
    Then 400 generated submissions raise nothing in the scheduler, with seed 11

  # Guards against an error of the scheduler that ends the process, so that its callers
  # are cut off, or that leaves it scheduling with a state that is half changed.
  Scenario Outline: An unexpected error in the scheduler ends its term, not the process
    Given a node that schedules
    When <place> raises an unexpected error
    Then the node has stepped down and logged the error
    And the node claims the next term and schedules again

    Examples:
      | place               |
      | the reducer         |
      | a call of an effect |
      | a decoded record    |

  Scenario: A failed part of a node is restarted while the others go on
    Given a node with a part that raises twice
    Then the part is started three times and the other part goes on

  Scenario: A request whose handling fails is answered as unknown
    Given an intake that raises an unexpected error
    Then a submission is answered with 504

  # Guards against a deeply nested message that ends the part of a node that reads it, or
  # the term of each scheduler in turn: the decoder raises an error of its own for it.
  Scenario Outline: A deeply nested message is refused by every reader
    Given <reader> with <shape> nested 100,000 deep
    Then it is refused as unreadable

    Examples:
      | reader                          | shape   |
      | a report of an endpoint         | lists   |
      | a report of an endpoint         | objects |
      | a configuration                 | lists   |
      | a wave                          | objects |
      | the lists of an endpoint        | lists   |
      | the list of machines            | objects |
      | the advice                      | lists   |
      | a refusal of an endpoint        | lists   |
      | the newest records of the store | lists   |
      | the answer to an append         | objects |
      | a record of the ledger          | lists   |
      | a record of the ledger          | objects |
      | packed records of a node        | objects |
      | a submission of a caller        | lists   |
      | a submission of a caller        | objects |

  # Guards against an odd entry among the endpoints' reports that ends the term of each
  # scheduler in turn, so that nobody schedules as long as the entry stands.
  Scenario Outline: A deeply nested entry among the reports ends no term
    Given a node that schedules for one endpoint
    When <entry> <stands>
    Then the node holds its first term, and the job runs on the endpoint
    And the endpoint is known as it was, and no other one is

    Examples:
      | entry                                | stands                                        |
      | an unknown field nested 100,000 deep | stands under the key x when its term begins   |
      | an unknown field nested 100,000 deep | comes under the key x during its term         |
      | an unknown field nested 100,000 deep | comes under the key w1 during its term        |
      | labels nested 100,000 deep           | stands under the key x when its term begins   |

  # Guards against the address of a peer, written by another process, that raises an
  # unexpected error in each call, and so ends the caller's term.
  Scenario Outline: A call to an address that can't be used is not sent
    When a node calls a peer whose address has <oddity>
    Then the call is not sent

    Examples:
      | oddity                       |
      | port 99999                   |
      | port -1                      |
      | port 0                       |
      | no port                      |
      | an empty port                |
      | a word as port               |
      | a port of 5,000 digits       |
      | a host of 300 letters        |
      | a host with an empty label   |
      | a host with a null character |
      | a surrogate in the host      |
      | nothing                      |

  # Guards against the key of an entry, sent back in a header, that raises an unexpected
  # error in each call.
  Scenario Outline: A call with a name that no header can hold is not sent
    When a node names in a header of a call a peer whose key has <oddity>
    Then the call is not sent

    Examples:
      | oddity               |
      | a line end           |
      | a blank at its begin |
      | a null character     |

  # Guards against numbers that no stored record and no message of this product can
  # hold: the scheduler that gets one ends its term when it writes or sends it.
  Scenario Outline: A message with an impossible number is refused
    Given <reader> whose <field> is <number>
    Then it is refused as unreadable

    Examples:
      | reader                          | field                         | number       |
      | a report of an endpoint         | born                          | 71 bits      |
      | a report of an endpoint         | born                          | 400 digits   |
      | a report of an endpoint         | born                          | 5,000 digits |
      | a report of an endpoint         | born                          | -1           |
      | a report of an endpoint         | born                          | 0            |
      | a report of an endpoint         | born                          | 1e17         |
      | a report of an endpoint         | clock_ms                      | 71 bits      |
      | a report of an endpoint         | capacity.cpu                  | -1           |
      | a report of an endpoint         | capacity.memory_request_mb    | 400 digits   |
      | a report of an endpoint         | capacity.memory_request_mb    | 1e308        |
      | a report of an endpoint         | capacity.gpu                  | 1e400        |
      | a report of an endpoint         | capacity.gpu                  | NaN          |
      | the lists of an endpoint        | born                          | 71 bits      |
      | the lists of an endpoint        | clock_ms                      | 400 digits   |
      | the lists of an endpoint        | running.0.1                   | 71 bits      |
      | the lists of an endpoint        | running.0.3                   | 1e308        |
      | the lists of an endpoint        | ended.0.0                     | -1           |
      | the lists of an endpoint        | ended.0.0                     | 71 bits      |
      | the lists of an endpoint        | ended.0.2                     | 400 digits   |
      | the advice                      | validity_ms                   | -1           |
      | a configuration                 | version                       | 71 bits      |
      | a configuration                 | routes.0.priority             | 400 digits   |
      | a configuration                 | routes.0.max_attempts         | 71 bits      |
      | a configuration                 | routes.0.target_duration_ms   | 71 bits      |
      | a configuration                 | routes.0.advice.validity_ms   | 400 digits   |
      | a configuration                 | tenants.0.cap.cpu             | 400 digits   |
      | a configuration                 | routes.0.stretch              | 1e308        |
      | a configuration                 | routes.0.stretch              | -1           |
      | a wave                          | duration_s                    | 1e308        |
      | a wave                          | wave                          | 71 bits      |
      | a wave                          | wave                          | -1           |
      | a wave                          | duration_s                    | 1e400        |
      | the newest records of the store | end_offset                    | 71 bits      |
      | the answer to an append         | end_offset                    | -1           |

  # Guards against one machine with an odd field that hides the whole list.
  Scenario: A machine with an impossible capacity does not hide the others
    Given a list of two machines, of which one has a capacity of -1
    Then only the other one is listed

  # Guards against an odd entry under the key of a real endpoint: a start after that of
  # the endpoint hid its later entries, and a record with it could not be stored.
  Scenario Outline: An entry with an impossible number leaves the endpoint as it was
    Given a node that schedules for one endpoint
    When <entry> <comes>
    Then the node holds its first term, and the job runs on the endpoint
    And the endpoint is known as it was, and no other one is

    Examples:
      | entry                    | comes                                       |
      | a start of 71 bits       | comes under the key w1 during its term      |
      | a start in the year 9999 | comes under the key w1 during its term      |
      | no start                 | comes under the key w1 during its term      |
      | a capacity of -1         | comes under the key w1 during its term      |
      | a start of 71 bits       | stands under the key x when its term begins |
      | no start                 | stands under the key x when its term begins |

  # Guards against an entry that no order can reach and that replaces the address of a
  # real endpoint, whose runs would then get no leases.
  Scenario Outline: A report with an address that no peer can have is refused
    Given a report of an endpoint whose address has <oddity>
    Then it is refused as unreadable

    Examples:
      | oddity                       |
      | port 99999                   |
      | port -1                      |
      | port 0                       |
      | no port                      |
      | a word as port               |
      | a port of 5,000 digits       |
      | a host of 300 letters        |
      | a host with an empty label   |
      | a host with a null character |
      | a name                       |
      | the unspecified address      |
      | nothing                      |

  Scenario Outline: An entry with an odd address leaves the endpoint as it was
    Given a node that schedules for one endpoint
    When <entry> <comes>
    Then the node holds its first term, and the job runs on the endpoint
    And the endpoint is known as it was, and no other one is

    Examples:
      | entry      | comes                                       |
      | port 99999 | comes under the key w1 during its term      |
      | port 0     | comes under the key x during its term       |
      | no port    | stands under the key x when its term begins |

  # Guards against a record that ends each reader in turn by an error that nobody has
  # foreseen.
  Scenario: A record that raises an unexpected error is skipped
    Given a change feed whose decoder raises an unexpected error for one of three records
    Then the other two are read, and the feed goes on

  # Guards against reading the first page again and again, since the last one names an
  # empty token instead of none.
  Scenario: A list of machines ends with a page whose token is empty
    Given a list of machines whose only page has an empty token
    Then it is read once
