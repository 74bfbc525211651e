Feature: An edit takes effect everywhere or nowhere, and never reverts

  Scenario: An older document never replaces a newer one
    Given a daemon's decisions with version 7 in force
    When a document of version 6 comes late
    Then version 7 is in force

  @fixture.estate
  Scenario: An accepted edit is in force at all daemons within 7 s
    When the owner saves section extra with prefix /extra-a
    Then all daemons route /extra-a within 7 s

  @fixture.estate
  Scenario Outline: A bad edit is refused with a code and changes nothing
    When an edit of section extra has <fault>
    Then the result is <code> with status <status>
    And the version is the same at all daemons

    Examples:
      | fault                    | code | status |
      | no valid TOML            | 4001 | 400    |
      | a floor of zero          | 4002 | 400    |
      | a misspelt field         | 4002 | 400    |
      | another section's route  | 4003 | 400    |
      | another section's name   | 4003 | 400    |
      | a reserved prefix        | 4003 | 400    |
      | a wrong token            | 4005 | 403    |
      | no token                 | 4005 | 403    |
      | no If-Match              | 4010 | 400    |
      | a stale If-Match         | 4004 | 409    |

  @fixture.estate
  Scenario: Operators of different sections race and both edits land
    When 24 operators save sections of their own at once
    Then all 24 edits were accepted
    And all 24 sections are in force at all daemons

  @fixture.estate
  Scenario: Operators of one section race and only one edit lands
    When 6 operators save section extra from the same base at once
    Then 1 edit was accepted and 5 were in conflict

  @fixture.estate
  Scenario: The store loses the answer of the swap
    Given the store loses the answers of the next 3 writes
    When the owner saves section extra with prefix /extra-b
    Then all daemons route /extra-b within 7 s
    And the section was saved once

  @fixture.estate
  Scenario: The store is down: edits are refused, requests go on
    Given the store is down
    When the owner saves section extra with prefix /extra-c
    Then the edit was refused as unavailable or unknown
    And no daemon routes /extra-c
    And requests go on for 6 s

  @fixture.estate
  Scenario: A daemon cut off from the store learns from its peers
    Given entry-3 cannot reach the store
    When the owner saves section extra with prefix /extra-d
    Then all daemons route /extra-d within 7 s

  @fixture.estate
  Scenario: The store's watch goes silent
    Given entry-3 reaches the store over a path that goes silent
    When the owner saves section extra with prefix /extra-e
    Then all daemons route /extra-e within 7 s

  @fixture.estate
  Scenario: A new daemon starts from a peer while the store is down
    Given the store is down
    When a fourth daemon starts
    Then it serves requests

  @fixture.estate
  Scenario: A daemon that hears neither the store nor a peer refuses new work
    Given entry-1 and entry-2 are frozen
    And the store is down
    Then entry-3 refuses new work with 2011 within 10 s
    When the store is back
    Then entry-3 serves again within 10 s

  @fixture.estate
  Scenario: A stale read of the store never brings an old document back
    Given the owner has saved section extra with prefix /extra-f
    When the store answers watches with the state before that
    Then entry-1 still routes /extra-f after 3 s

  @fixture.one_watcher
  Scenario: Edits and ejections reach daemons that do not watch the store
    When the owner saves section extra with prefix /extra-g
    Then all daemons route /extra-g within 7 s
    And the store is watched by one daemon
    Given catalogue-5 fails 70 % of its work
    When callers read the catalogue through all daemons
    Then all daemons eject catalogue-5 within 10 s
