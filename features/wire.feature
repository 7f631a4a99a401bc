Feature: All input from sockets is bounded, validated and answered at most once

  # Guards against parts that pass their own tests but do not work together over real
  # sockets.
  Scenario: A request passes through an entry and SIGTERM ends it with code 0
    When a caller sends a request through an entry and the entry gets SIGTERM
    Then the caller got the endpoint's answer with its own request id
    And the log has the session opened, then closed
    And the entry exited with code 0

  # Guards against a decoder that raises an unexpected exception or allocates memory
  # for a corrupt length, either of which would end the reader of a healthy process.
  Scenario: Truncated and corrupt frames raise only FrameError
    When 3000 truncated and corrupt envelopes are decoded with seed 7
    Then each was decoded or raised FrameError

  # Guards against a peer whose bad frame blocks or ends the service for other peers.
  Scenario Outline: A peer that sends a bad frame is closed, another one is answered
    Given a peer server with one healthy connection
    When another peer sends a <kind> frame
    Then its connection is closed and the healthy one gets its answer

    Examples:
      | kind      |
      | truncated |
      | corrupt   |
      | too long  |
      | empty     |

  # Guards against requests without a timeout to a peer whose connection went silent,
  # and against keeping that connection when a new one would work.
  Scenario: Requests to a silent peer time out and its connection is replaced
    When three requests are sent to a peer that is silent on its first connection
    Then two time out and the third is answered on a new connection

  # Guards against messages that exhaust the memory, or that are refused without an
  # error code.
  Scenario Outline: A bad HTTP message gets an error code, other callers are served
    When a caller sends a <kind> message
    Then it gets status <status> with code <code> and its connection is closed
    And the next caller is served

    Examples:
      | kind                | status | code     |
      | malformed           | 400    | PRP-2402 |
      | bad chunk           | 400    | PRP-2402 |
      | long header         | 413    | PRP-2403 |
      | long declared body  | 413    | PRP-2403 |
      | long chunked body   | 413    | PRP-2403 |
      | one body too many   | 503    | PRP-2404 |
      | one caller too many | 503    | PRP-2404 |

  # Guards against stalled callers that hold a connection and its memory for ever.
  Scenario Outline: The server closes the connection of a caller that stalls
    When a caller stalls <where>
    Then the server closes its connection and holds no bytes for it

    Examples:
      | where                     |
      | before its first byte     |
      | inside the head           |
      | inside the body           |
      | while taking its response |

  # Guards against an entry that forwards an incomplete answer, or the answer to another
  # request.
  Scenario Outline: An unusable answer of an endpoint is never forwarded
    When an endpoint sends a <kind> answer
    Then the exchange fails as <failure> and the connection is closed

    Examples:
      | kind         | failure   |
      | truncated    | truncated |
      | closed       | closed    |
      | crossed      | crossed   |
      | anonymous    | crossed   |
      | endless      | malformed |
      | malformed    | malformed |
      | odd status   | malformed |
      | long         | too_large |
      | long head    | too_large |
      | long chunked | too_large |

  # Guards against a request that runs after its caller got the outcome not-run, because
  # the process was paused between the decision and the write.
  Scenario: A request whose deadline has passed is not written
    When a request is sent after its deadline
    Then the endpoint got no byte and the send was reported as skipped

  # Guards against the reuse of a connection that still carries bytes of another
  # exchange.
  Scenario: Unexpected bytes on an idle connection close it
    When an endpoint sends bytes without a request
    Then the connection is reported as closed and a send on it as not sent

  # Guards against a body that is sent although the endpoint has refused the request.
  Scenario Outline: A body is sent only after 100 Continue
    When a request that expects 100 Continue gets <first>
    Then the endpoint got <bytes> bytes of the body and the result is <result>

    Examples:
      | first | bytes | result   |
      | 100   | 5     | answered |
      | 417   | 0     | not_sent |
      | 403   | 0     | answered |

  # Guards against memory use that grows with the number of long answers.
  Scenario: Long answers beyond the response budget wait for each other
    When two endpoints send long answers and the first one pauses
    Then the second waits until the first is complete, and both are completed

  # Guards against an answer that an entry returns to the wrong caller when the endpoint
  # fails.
  Scenario Outline: Callers get their own answers while an endpoint is <mode>
    When a caller sends a request while the endpoint is <mode> and then another one
    Then the first caller got the outcome <outcome> and the second its own answer

    Examples:
      | mode      | outcome         |
      | truncated | endpoint-failed |
      | crossed   | unknown         |
      | late      | unknown         |
      | silent    | unknown         |

  # Guards against a request that runs twice because it is retried at another entry.
  Scenario: A retry at another entry gets the first answer
    When a caller sends a request and retries it with its id at another entry
    Then both answers are equal and the endpoint ran it once

  # Guards against a command that takes effect twice, or is reported as failed,
  # because the answer to its append was lost.
  Scenario: A record whose append answer was lost is folded once
    When a record is appended and the answer to its append is lost
    Then the log holds the same record twice and an entry folds it once

  # Guards against a process that loses accepted changes, and against two processes with
  # different states, after the platform has restored an older log.
  Scenario: A truncated log never reverts the state of a process
    When the log is truncated below a configuration that two entries have read
    Then both kept the configuration and agree on generation 1 and one state
    And a new entry reads the same configuration from the log
    And event 1105 was written

  # Guards against folding records of another history, because a truncated log has grown
  # past the offset read last before the next read ended.
  Scenario: A log that was truncated and has grown again is detected
    When a log is truncated and other records take the place of those read
    Then the entry kept its configuration in generation 1 and skipped those records

  # Guards against offsets of a former log that are compared with offsets of the new
  # one.
  Scenario: A state that moves to a new log keeps no offset of the former one
    When a state with offsets from 100 on moves to offset 7 of generation 1
    Then no offset of the former log is left in it

  # Guards against loading a snapshot of a newer generation that was made at an earlier
  # offset than the state in memory.
  Scenario: An older state in a newer generation is not loaded
    When a truncated log holds a snapshot of generation 1 with fewer records
    Then the entry kept its configuration and generation 2 carries it

  # Guards against a new process that needs records which are no longer retained.
  Scenario: A new entry starts from a snapshot when the log has dropped records
    When the log has dropped the configuration's record and holds a snapshot
    Then a new entry has the configuration

  # Guards against a new process that cannot serve while the log is down, and against a
  # withdrawn key that is accepted until the log is up again.
  Scenario: While the log is down, a new entry loads from peers and withdrawals spread
    When an entry starts during an outage and a key is withdrawn at the other one
    Then the new entry has the configuration of its peer
    And both entries have the withdrawal, and the log has it after the outage

  # Guards against a data centre that loses its units when its link to the log is cut
  # although it can still reach peers.
  Scenario: A renewal is relayed by a peer while the link to the log is cut
    When the link of one data centre to the platform is cut
    Then the log gets renewals of its entry, and the entry reads them from its peer

  # Guards against work that is started because of decisions from before a pause.
  Scenario: A pause of the event loop is reported before the next event
    When the event loop of an entry was paused for 5 seconds
    Then the reducer got Resumed before the next tick

  # Guards against counting a caller's timeout from the end of a pause.
  Scenario Outline: A request is read <seconds> s after a pause of the event loop
    When a caller with a timeout of 4 s is read <seconds> s after a pause of 5 s
    Then it is answered with <code>

    Examples:
      | seconds | code     |
      | 0.0     | PRP-2203 |
      | 0.6     | none     |

  # Guards against a command with which an operator could overdraw a count, such as a
  # SliceGive.
  Scenario: Operators can append only operators' records
    When an operator sends records that only processes may append
    Then each is refused with PRP-2402 and the log is unchanged

  # Guards against calls that time out on one pooled connection after another, when
  # all of them went silent in one outage and new ones work.
  Scenario: One timeout closes the other pooled connections to an address
    Given a service that answers three concurrent calls and then silences their connections
    When four more calls are made one after the other
    Then one of them times out and three are answered

  # Guards against large answers that never arrive over a slow link, because each
  # attempt times out half-way and is retried from the start.
  Scenario: An answer that arrives slowly is read to its end
    Given a service whose answers take 0.8 seconds to arrive
    When a call waits 0.3 seconds for an answer
    Then it is answered

  # Guards against a call that waits for ever for the rest of an answer.
  Scenario: A call whose answer stops half-way times out
    Given a service whose answers stop half-way
    When a call waits 0.3 seconds for an answer
    Then it times out within 2 seconds
