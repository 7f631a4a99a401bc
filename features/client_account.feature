Feature: Clients share one bounded account, and a refusal keeps its promise

  # Guards against 503 for a request that may have been stored, and against a handler
  # that gets a refused one.
  Scenario: A request that finds no room is refused before it is handed over
    Given a server whose account has room for one request under way
    When a second request comes while the first is under way
    Then the second gets 503 with Retry-After and was not handed over
    And the first is answered with 200

  Scenario: A connection whose request was handed over is closed without an answer
    Given a server whose account has room for one request under way
    When the connection of a request under way is cut off
    Then its caller gets no answer

  # Guards against bytes that stay charged when a caller leaves before its answer.
  Scenario: A request whose caller has left is charged until its handler ends
    Given a server whose account has room for one request under way
    When the caller of a request under way disconnects
    Then the account holds the request, and nothing once its handler has dropped it

  # Guards against a server that never returns when unsent answers reach their limit.
  Scenario: Unsent answers above the limit close a connection, others are served
    Given a server with a limit of unsent answers of 1 MB
    When a caller leaves an answer of 16 MB unread
    Then its connection is closed and the next caller is served

  # Guards against limits that callers inside the limits of the pages meet.
  Scenario Outline: Callers inside the published limits meet no limit: <memory_mb> MB
    Given a server with the limits of a node with <memory_mb> MB and 4100 descriptors
    When 500 callers ask at once, with 15 KB of headers and one body of 1 MB
    Then all are answered with 200 and nobody is cut off

    Examples: nodes
      | memory_mb |
      | 160       |
      | 200       |

  # Guards against frames of other nodes that together take the memory of the process.
  Scenario: Unfinished frames of peers are bounded together
    Given a peer server with one healthy connection
    When 12 connections of peers each send most of a frame of 1 MB
    Then at most 8 of them stay open, and the healthy one gets its answer
