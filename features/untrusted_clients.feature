Feature: Clients outside the limits end and hang no process

  A node runs as a process of its own, with 64 MB and 360 descriptors in its settings. The
  platform reserves 200 descriptors for files, so the bound on open ones is 160. A crowd
  misbehaves for 2 s and then keeps its connections open. The bounds follow from the
  settings; the size of the crowd is chosen so that a server without limits exceeds them.

  # Guards against a parser buffer that grows by a read with every answer: 60 clients
  # took 600 MB and more.
  Scenario: Pipelined requests without the usual headers stay within the memory
    Given a node with 64 MB and 360 descriptors
    When 60 clients of its callers' address pipeline requests for a job without the usual headers
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against pipelined requests that are all answered in one iteration of the event
  # loop, so that nobody else is.
  Scenario: Pipelined readiness checks leave room for ordinary ones
    Given a node with 64 MB and 360 descriptors
    When 60 clients of its readiness address pipeline readiness checks
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against refusals that cost as much memory as answers.
  Scenario: Pipelined requests that match no route stay within the memory
    Given a node with 64 MB and 360 descriptors
    When 60 clients of its callers' address pipeline requests that match no route
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against answers that pile up for clients that read a byte a second.
  Scenario: Slow readers stay within the memory
    Given a node with 64 MB and 360 descriptors
    When 60 clients of its metrics address read answers slowly
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against connections that wait for a request for ever and take all descriptors.
  Scenario Outline: Slow senders stay within the descriptors: <behaviour>
    Given a node with 64 MB and 360 descriptors
    When 300 clients of its callers' address <behaviour>
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

    Examples: behaviours
      | behaviour              |
      | send a byte a second   |
      | send heads without end |
      | stay idle              |

  # Guards against descriptors and buffers that a closed connection leaves behind.
  Scenario: A thousand connects and closes leave nothing behind
    Given a node with 64 MB and 360 descriptors
    When 100 clients of its callers' address connect and close
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against half-closed connections that are kept for an answer nobody reads.
  Scenario: Half-closed connections stay within the descriptors
    Given a node with 64 MB and 360 descriptors
    When 300 clients of its callers' address half-close
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to

  # Guards against bodies that are small each and exceed the memory together.
  Scenario: Many small bodies stay within the memory
    Given a node with 64 MB and 360 descriptors
    When 300 clients of its callers' address send part of a small body
    Then the process lives, with at most 64 MB and 160 descriptors
    And ordinary requests are answered, and the process ends when asked to
