Feature: An edit takes effect on all daemons or none and is never reverted

  Scenario: An older document never replaces a newer one
    Given a service table with document version 7 in force
    When a document of version 6 arrives late
    Then document version 7 is in force

  @fixture.fleet
  Scenario: An accepted edit is in force at all daemons within 7 s
    When the owner saves section extra with prefix /extra-a
    Then all daemons route /extra-a within 7 s

  @fixture.fleet
  Scenario Outline: An invalid edit is rejected with a code and changes nothing
    When an edit of section extra has <fault>
    Then the result is <code> with status <status>
    And the document version is unchanged at all daemons

    Examples:
      | fault                    | code | status |
      | invalid TOML             | 4001 | 400    |
      | a floor of zero          | 4002 | 400    |
      | a misspelt field         | 4002 | 400    |
      | another section's route  | 4003 | 400    |
      | another section's name   | 4003 | 400    |
      | a reserved prefix        | 4003 | 400    |
      | a wrong token            | 4005 | 403    |
      | no token                 | 4005 | 403    |
      | no If-Match              | 4010 | 400    |
      | a stale If-Match         | 4004 | 409    |

  @fixture.fleet
  Scenario: Concurrent edits of different sections all succeed
    When 24 operators save different sections at once
    Then all 24 edits were accepted
    And all 24 sections are in force at all daemons

  @fixture.fleet
  Scenario: Of concurrent edits of one section only one succeeds
    When 6 operators save section extra from the same base at once
    Then 1 edit was accepted and 5 were rejected as conflicts

  @fixture.fleet
  Scenario: An edit is saved once although the compare-and-swap response is lost
    Given the store loses the responses to the next 3 writes
    When the owner saves section extra with prefix /extra-b
    Then all daemons route /extra-b within 7 s
    And the section was saved once

  @fixture.fleet
  Scenario: While the store is down edits are rejected and requests are served
    Given the store is down
    When the owner saves section extra with prefix /extra-c
    Then the edit was rejected with an unavailable store or an unknown outcome
    And no daemon routes /extra-c
    And requests are served for 6 s

  @fixture.fleet
  Scenario: A daemon without a connection to the store gets edits from its peers
    Given entry-3 cannot reach the store
    When the owner saves section extra with prefix /extra-d
    Then all daemons route /extra-d within 7 s

  @fixture.fleet
  Scenario: An edit reaches a daemon whose watch of the store goes silent
    Given entry-3 reaches the store over a connection that goes silent
    When the owner saves section extra with prefix /extra-e
    Then all daemons route /extra-e within 7 s

  @fixture.fleet
  Scenario: A new daemon loads the document from a peer while the store is down
    Given the store is down
    When a fourth daemon starts
    Then the fourth daemon serves requests

  @fixture.fleet
  Scenario: A daemon that reaches neither the store nor a peer rejects requests
    Given entry-1 and entry-2 are frozen
    And the store is down
    Then entry-3 rejects new requests with 2011 within 10 s
    When the store is up again
    Then entry-3 serves again within 10 s

  @fixture.fleet
  Scenario: A stale read of the store never restores an old document
    Given the owner has saved section extra with prefix /extra-f
    When the store responds to watches with the state before that edit
    Then entry-1 still routes /extra-f after 3 s

  @fixture.one_watcher
  Scenario: Edits and ejections reach daemons that do not watch the store
    When the owner saves section extra with prefix /extra-g
    Then all daemons route /extra-g within 7 s
    And only one daemon watches the store
    Given catalogue-5 fails 70 % of its requests
    When callers read the catalogue through all daemons
    Then all daemons eject catalogue-5 within 10 s
