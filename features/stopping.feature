Feature: A node that stops listens until balancers have learnt of it

  Pattern: a balancer checks each node once a second, and sends new connections to it until
  two checks in a row have failed. A node that stops at once would reset them.

  # Guards against new connections that are refused while a balancer still sends them, and
  # against a stop that waits for a balancer that isn't there.
  Scenario Outline: A node with <checks> listens until <until> s after the signal
    Given a node that has answered health checks as ready at <ready> s
    When it gets SIGTERM at 0 s and answers health checks as not ready at <unready> s
    Then it awaits its removal until <until> s

    Examples: checks
      | checks             | ready      | unready  | until |
      | a check a second   | -2.4, -1.4, -0.4 | 0.6, 1.6 | 1.6 |
      | a check that ends  | -2.4, -1.4, -0.4 |          | 1.6 |
      | fast checks        | -0.3, -0.2, -0.1 | 0.0, 0.1 | 0.1 |
      | one check          | -1.0             |          | 1.5 |
      | old checks         | -9.0, -8.0       |          | 0   |
      | no check           |                  |          | 0   |

  # Guards against a stop that is cut off by SIGKILL, or that gives up what it has taken
  # before it must.
  Scenario Outline: The deadlines of a stop fit into a grace period of <grace> s
    Given a grace period of <grace> s
    Then a stop listens at most <listen> s, answers within <answer> s, and ends within <end> s

    Examples: grace periods
      | grace | listen | answer | end |
      | 6     | 2.5    | 4.25   | 5   |
      | 3     | 1.25   | 1.25   | 2   |
      | 1     | 0      | 0      | 0   |
      | 0     | 0      | 0      | 0   |
