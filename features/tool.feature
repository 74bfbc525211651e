Feature: The command-line tool, the settings and the table of result codes

  Scenario: The table of result codes is complete
    Then docs/RESULT_CODES.md has each code with its class, status and text

  Scenario Outline: An invalid setting is named in the error at start-up
    When the daemon starts with <flag> <value>
    Then it exits with code 2 and names <flag>

    Examples:
      | flag            | value           |
      | --listen        | localhost:80    |
      | --listen        | 127.0.0.1:99999 |
      | --id            | with.dot        |
      | --drain-grace-s | soon            |
      | --log-level     | loud            |

  Scenario: Settings are read from environment variables
    When the daemon starts with DOTTERELPATH_LISTEN set to nonsense
    Then it exits with code 2 and names --listen

  Scenario: An address in use is reported with its result code
    When the daemon starts on a port that is in use
    Then it exits with code 1 and logs code 5002

  Scenario Outline: Sections are checked without a daemon
    Given a file team.toml with <content>
    When the tool runs document check team.toml
    Then it exits with <exit> and prints <text>

    Examples:
      | content                          | exit | text                   |
      | a valid section                  | 0    | team: valid            |
      | invalid TOML                     | 2    | error 4001             |
      | a misspelt field                 | 2    | service[0]             |
      | a route to an undeclared service | 2    | which the section does |

  Scenario: An unreachable daemon is reported with its result code
    When the tool runs status against a closed port
    Then it exits with 6 and prints error 5004

  @fixture.fleet
  Scenario: Sections are put, shown and edited, and conflicts are reported
    Given a file team.toml with a valid section
    When the tool runs document put team team.toml with the owner's token
    Then it exits with 0 and prints team: saved in version 3
    When the tool runs document show team
    Then it exits with 0 and prints name = "team"
    When the tool runs document put team team.toml with a wrong token
    Then it exits with 4 and prints error 4005
    When the tool runs document put team team.toml with a stale base
    Then it exits with 3 and prints error 4004
    When the tool edits team, replacing floor = 1 by floor = 2
    Then it exits with 0 and prints team: saved in version 4
    When the tool runs --json document show
    Then it exits with 0 and prints "version": 4
    When the tool runs status
    Then it exits with 0 and prints member entry-2  alive  b
    When the tool runs outcomes
    Then it exits with 0 and prints service bookings  in use 6/6  floor 4

  @fixture.fleet
  Scenario: A server with partial failures is ejected and returns after a trial
    Given catalogue-5 fails 70 % of its requests
    When callers read the catalogue through all daemons
    Then all daemons eject catalogue-5 within 10 s
    Given catalogue-5 recovers
    Then all daemons return catalogue-5 to rotation within 40 s

  @fixture.fleet
  Scenario: Without the store a failing server is avoided but not ejected
    Given the store is down
    And catalogue-6 fails 70 % of its requests
    When callers read the catalogue through all daemons
    Then entry-1 avoids catalogue-6 within 15 s
    And no daemon ejects catalogue-6
