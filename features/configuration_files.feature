Feature: Mistakes in a configuration folder are found before anything changes
  Each message names file, line, setting and remedy; all mistakes are reported at once.

  Background:
    Given the configuration file "10-base.yaml"
      """
      pools:
        press: {}
        spare: {spare: true}
      services:
        press: {pool: press, min_available: 1}
      teams:
        growers: {share: 2, limit: 10, queues: [press]}
      instances:
        press-1:
          {dc: linz, rack: r1, pool: press, address: 127.0.1.1, port: 9000}
      """

  # Guards against a check that refuses a valid folder, and against documents that are
  # merged in the order in which the file system lists them.
  Scenario: A valid folder is merged in the order of its file names
    Given the configuration file "20-more.yaml"
      """
      teams:
        press-staff:
      fleet: {max_parallel: 2}
      """
    Then the folder holds 2 documents with the teams growers and press-staff

  # Guards against each mistake that would otherwise reach the fleet, and against a
  # message that names the wrong line.
  Scenario Outline: A mistake is reported with file and line: <mistake>
    Given the configuration file "20-more.yaml" with the line "<line>" after a comment
    Then the folder is refused with exactly "<message>"

    Examples:
      | mistake            | line | message |
      | unknown setting    | teams: {a: {limits: 3}} | 20-more.yaml:2: teams.a.limits: is an unknown setting; did you mean limit? |
      | unknown section    | team: {a: {}} | 20-more.yaml:2: team: is an unknown setting; did you mean teams? |
      | defined twice      | teams: {a: {}, a: {}} | 20-more.yaml:2: teams.a: is defined twice (line 2); keep one |
      | in two files       | teams: {growers: {}} | 20-more.yaml:2: teams.growers: is also defined in 10-base.yaml; keep one definition |
      | instance twice     | instances: {press-1: {dc: linz, rack: r1, pool: press, address: 127.0.1.2, port: 1}} | 20-more.yaml:2: instances.press-1: is also defined in 10-base.yaml; keep one definition |
      | same address       | instances: {press-2: {dc: linz, rack: r1, pool: press, address: 127.0.1.1, port: 9000}} | 20-more.yaml:2: instances.press-2.address: has the address and port of press-1; use a different address or port |
      | limit below zero   | teams: {a: {limit: -1}} | 20-more.yaml:2: teams.a.limit: is below zero (-1); set it to 0 or more |
      | share of zero      | teams: {a: {share: 0}} | 20-more.yaml:2: teams.a.share: is not above 0 (0.0); set it to a number above 0 |
      | share not a number | teams: {a: {share: .nan}} | 20-more.yaml:2: teams.a.share: is not above 0 (nan); set it to a number above 0 |
      | pool of a service  | services: {jam: {pool: pres}} | 20-more.yaml:2: services.jam.pool: refers to an unknown pool (pres); did you mean press? |
      | pool of instance   | instances: {jam-1: {dc: linz, rack: r1, pool: jam, address: 127.0.1.2, port: 1}} | 20-more.yaml:2: instances.jam-1.pool: refers to an unknown pool (jam); define the pool or correct the name |
      | queue of a team    | teams: {a: {queues: [jam]}} | 20-more.yaml:2: teams.a.queues: refers to an unknown queue (jam); define the queue or correct the name |
      | impossible budget  | services: {jam: {pool: press, min_available: 2}} | 20-more.yaml:2: services.jam.min_available: cannot be met (2 required, 1 in the pool); lower it or add instances to the pool press |
      | wrong type         | teams: {a: {limit: many}} | 20-more.yaml:2: teams.a.limit: has the wrong type (Expected `int`, got `str`); use a value of the expected type |
      | missing setting    | services: {jam: {}} | 20-more.yaml:2: services.jam.pool: is missing; add the setting |
      | name with a slash  | teams: {a/b: {}} | 20-more.yaml:2: teams.a/b: is not a valid name; use at most 64 letters, digits, '.', '_' and '-' |
      | not YAML           | teams: {a: ] | 20-more.yaml:2: is not valid YAML (expected the node content, but found ']'); fix the syntax |
      | no mapping         | just text | 20-more.yaml:2: is not a mapping; start with one of pools, services, teams, instances, fleet |
      | unusable duration  | fleet: {max_request_s: 5} | 20-more.yaml:2: fleet.default_request_s: is above max_request_s (5.0); lower it |

  # Guards against operators who have to correct one mistake at a time, and against
  # reports of an unknown pool that is defined in a file which could not be parsed.
  Scenario: All mistakes of all files are reported at once, without their consequences
    Given the configuration file "20-more.yaml"
      """
      teams:
        a: {limit: -1}
        b: {share: -2, limt: 3}
      """
    And the configuration file "30-broken.yaml"
      """
      pools: {jam: [}
      """
    And the configuration file "40-uses-it.yaml"
      """
      services: {jam: {pool: jam, min_available: 3, open: maybe}}
      """
    Then the folder is refused at 20-more.yaml:2, 20-more.yaml:3, 20-more.yaml:3, 30-broken.yaml:1 and 40-uses-it.yaml:1

  # Guards against a damaged file that ends the check with an unexpected exception.
  Scenario Outline: Random damage gives a valid folder or mistakes with a remedy
    When the file "10-base.yaml" is damaged at random 300 times with seed <seed>
    Then each folder was valid or refused with file, problem and remedy

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against a diff that hides a change or shows the digest of a key.
  Scenario: The difference between two folders is reported by setting
    Given the folder is in force
    And the configuration file "10-base.yaml"
      """
      pools: {press: {}, spare: {spare: true}}
      services: {press: {pool: press, min_available: 0}}
      """
    And the configuration file "20-teams.yaml"
      """
      teams:
        growers:
          share: 2
          limit: 12
          queues: [press]
          keys: {k1: {salt: ab, digest: <64 digits>}}
      """
    Then 1 file is new, 1 has changed and these settings differ
      | setting                        | old    | new    |
      | services.press.min_available   | 1      | 0      |
      | teams.growers.keys.k1.digest   | absent | hidden |
      | teams.growers.keys.k1.salt     | absent | hidden |
      | teams.growers.limit            | 10     | 12     |

  # Guards against examples that no longer load, or whose budgets do not survive the
  # loss of a rack during maintenance.
  Scenario Outline: The example <name> has the expected size and survives a rack's loss
    Then the example "<name>" has 3 data centres, 5 pools of 6 and 6 teams
    And its budgets hold when any rack fails while one instance is in maintenance
    And its process settings name two entries and a planner in two data centres

    Examples:
      | name        |
      | granatapfel |
      | lustre      |
