Feature: Operators change the fleet with primrosectl
  A command is checked against the state in force and reports where it is in force. A
  lost answer never causes a second effect or a false conflict.

  Background:
    Given an entry stand-in with three processes in the data centres linz and wels
    And the configuration files of a pool of 3 instances that needs 2

  # Guards against a publication that is accepted without its offset being reported, and
  # against one that is repeated although it is in force already.
  Scenario: A folder is published and is in force in every live process
    When primrosectl runs "publish FOLDER --wait"
    Then it exits with 0 and prints "accepted at offset 3"
    And it prints "in force in 3 processes"
    When primrosectl runs "publish FOLDER"
    Then it exits with 0 and prints "in force already since offset 3"
    When primrosectl runs "diff FOLDER"
    Then it exits with 0 and prints "0 settings differ from offset 3"

  # Guards against an invalid configuration that reaches the log.
  Scenario: A folder with a mistake is refused and nothing is published
    Given the team's limit in the folder is -1
    When primrosectl runs "publish FOLDER"
    Then it exits with 1 and prints "10-fleet.yaml:4: teams.growers.limit: is below zero"
    And nothing was appended
    When primrosectl runs "validate FOLDER"
    Then it exits with 1 and prints "set it to 0 or more"

  # Guards against a retry after a lost answer that fails as a conflict with the first
  # attempt, which had taken effect.
  Scenario Outline: A publication succeeds although its answer is lost
    Given <answers> answers of the entry are lost after their command took effect
    When primrosectl runs "publish FOLDER"
    Then it exits with 0 and prints "accepted at offset 3"

    Examples:
      | answers |
      | 1       |
      | 2       |

  # Guards against an operator who reverts what another one has published since the
  # base of the folder.
  Scenario: A conflict reports what has changed since the base of the folder
    Given primrosectl has run "publish FOLDER"
    And another operator has set the team's limit to 30
    And the team's limit in the folder is 20
    When primrosectl runs "publish FOLDER"
    Then it exits with 3 and prints "teams.growers.limit: 10 -> 30"
    And the limit in force is 30
    When primrosectl runs "publish FOLDER --base 4"
    Then it exits with 0 and prints "teams.growers.limit: 30 -> 20"

  # Guards against a folder without a recorded base that overwrites the configuration in
  # force.
  Scenario: A folder without a base does not overwrite a configuration
    Given another operator has set the team's limit to 30
    When primrosectl runs "publish FOLDER"
    Then it exits with 3 and prints "pass --base 3"
    When primrosectl runs "show --write FOLDER"
    And primrosectl runs "publish FOLDER"
    Then it exits with 0 and prints "in force already since offset 3"

  # Guards against a wait that succeeds although a process has not yet read the change.
  Scenario: A process that lags is reported
    Given the process "planner-linz" stays at offset 2
    When primrosectl runs "publish FOLDER --wait --wait-s 0"
    Then it exits with 4 and prints "lags: planner planner-linz in linz: at offset 2"

  # Guards against a withdrawal that is reported as in force in a data centre that could
  # not be reached.
  Scenario: A withdrawal reports the data centre that could not be reached
    Given primrosectl has run "publish FOLDER"
    And primrosectl has run "key give growers"
    And the process "entry-wels" cannot be reached
    When primrosectl runs "key withdraw KEYID --wait-s 0"
    Then it exits with 4 and prints "key KEYID withdrawn at offset 5"
    And it prints "in force: planner planner-linz in linz"
    And it prints "data centre wels could not be reached"
    When primrosectl runs "key rotate growers"
    Then the key printed last works and KEYID does not

  # Guards against a withdrawal that has no effect until the log is up again.
  Scenario: A withdrawal is pending while the log is down
    Given primrosectl has run "publish FOLDER"
    And primrosectl has run "key give growers"
    And the log is down and the withdrawal reaches only entry-linz
    When primrosectl runs "key withdraw KEYID --wait-s 0"
    Then it exits with 4 and prints "the log is down and gets it later"
    And it prints "in force: entry entry-linz in linz"
    And it prints "not in force: planner planner-linz in linz"

  # Guards against dry runs that report another outcome than the log would give, or that
  # take effect.
  Scenario Outline: A dry run reports what a command would do or what blocks it
    Given primrosectl has run "publish FOLDER"
    And the available instances are <up>
    When primrosectl runs "<command> --dry-run"
    Then it exits with <code> and prints "<text>"
    And nothing was appended

    Examples:
      | up                  | command                   | code | text |
      | press-1,press-2,press-3 | drain press-1         | 0 | would drain press-1 for a reboot |
      | press-1,press-2     | drain press-1             | 1 | service press needs 2, 1 would be left |
      | press-1,press-2     | drain press-3             | 0 | would drain press-3 |
      | press-1,press-2     | drain press-9             | 1 | no such name (instance press-9) |
      | press-1,press-2,press-3 | move press-1 spare    | 0 | would drain press-1 for a move to spare |
      | press-1,press-2,press-3 | move press-1 spair    | 1 | no such name (pool spair) |
      | press-1,press-2     | wave start --pool press   | 0 | press-1 would wait: service press needs 2, 1 would be left |
      | press-1,press-2,press-3 | wave start --pool press   | 0 | press-2 would wait: rack linz/r1 is in work |
      | press-1,press-2     | wave pause w1             | 1 | the wave is in another state |
      | press-1,press-2     | fence entry-wels          | 0 | would end session entry-wels |
      | press-1,press-2     | fence entry-graz          | 1 | the session is in another state |

  # Guards against fleet commands that have no effect, or that take effect twice
  # because a lost answer was retried.
  Scenario: Fleet commands take effect once although an answer is lost
    Given primrosectl has run "publish FOLDER"
    And the available instances are press-1,press-2,press-3
    And 1 answers of the entry are lost after their command took effect
    When primrosectl runs "move press-1 spare"
    Then it exits with 0 and prints "accepted: drain press-1 for a move to spare"
    When primrosectl runs "wave start --name w1 press-2 press-3"
    And primrosectl runs "wave pause w1"
    And primrosectl runs "wave pause w1"
    And primrosectl runs "wave status"
    Then it exits with 0 and prints "w1    paused  0     2"
    When primrosectl runs "fence entry-wels"
    Then it exits with 1 and prints "attest with --powered-off"
    When primrosectl runs "fence entry-wels --powered-off"
    Then it exits with 0 and prints "accepted: end session entry-wels"
    And 4 records were accepted since the publication
    When primrosectl runs "status"
    Then it exits with 0 and prints "press  2          3          2"

  # Guards against a command that is sent to a second entry although the first may have
  # carried it out, and against a command that hangs when no entry can be reached.
  Scenario: An unreachable entry is skipped, one whose answers are lost is not
    Given primrosectl has run "publish FOLDER"
    And 9 answers of the entry are lost after their command took effect
    When primrosectl runs "key give growers" with a closed port as first entry
    Then it exits with 0 and prints "key of team growers"
    When primrosectl runs "show" with a closed port as only entry
    Then it exits with 5 and prints "no entry can be reached"

  # Guards against differences between primrosectl and an entry in the operators' API.
  Scenario: Every command works with a real entry
    When primrosectl runs these commands against an entry and a platform stand-in
      | command                                | code | prints |
      | publish FOLDER --wait                  | 0 | in force in 1 processes |
      | publish FOLDER                         | 0 | in force already since offset 1 |
      | diff FOLDER                            | 0 | 0 settings differ from offset 1 |
      | show                                   | 0 | min_available: 2 |
      | key give growers                       | 0 | key of team growers, id |
      | key rotate growers                     | 0 | still works: KEYID; withdraw it |
      | key withdraw KEYID                     | 0 | key KEYID withdrawn at offset |
      | key withdraw KEYID                     | 0 | no working key has the id KEYID |
      | key give brewers                       | 1 | PRP-1203 the command did not fit the state in force (no such name: team brewers): read the named reason, run 'primrosectl show' |
      | drain press-1 --dry-run                | 0 | would drain press-1 for a reboot |
      | move press-1 spare                     | 0 | accepted: drain press-1 for a move to spare |
      | drain press-1 --cancel                 | 0 | accepted: cancel the drain of press-1 |
      | wave start --name w1 --pool press      | 0 | accepted: start wave w1 over 3 instances |
      | wave pause w1                          | 0 | accepted: pause wave w1 |
      | wave resume w1                         | 0 | accepted: resume wave w1 |
      | wave cancel w1                         | 0 | accepted: cancel wave w1 |
      | wave status                            | 0 | w1    cancelled  0     3 |
      | fence nobody-1 --powered-off           | 1 | the session is in another state |
      | status                                 | 0 | growers  0        0 |

  # Guards against a wrong address that is noticed only when a command is urgent.
  Scenario: The addresses of entries are checked before they are needed
    When primrosectl checks the entries "127.0.0.1:8080 [::1]:8080"
    Then it exits with 0 and prints "2 entries are named"
    When primrosectl checks the entries "entry-1:8080"
    Then it exits with 1 and prints "entry-1:8080 is not IP:PORT"
    When primrosectl checks the entries "127.0.0.1:99999"
    Then it exits with 1 and prints "is not IP:PORT"
