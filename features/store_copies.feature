Feature: Daemons read large changes from the copies that peers have

  Scenario: A copy of the store has the keys at one revision
    Given a store whose keys are written and deleted at random
    When a daemon keeps a copy and others read it after any revision
    Then what they know is always the store at the revision of the copy

  Scenario: A copy that forgot deletions has all keys
    Given a store whose keys are written and deleted at random
    When a daemon keeps a copy that remembers 2 deletions
    Then what others know is always the store at the revision of the copy

  Scenario Outline: An invalid copy is refused
    When a peer responds with <body>
    Then the copy is refused as an error of the store

    Examples:
      | body                            |
      | no bytes                        |
      | bytes that are not compressed   |
      | half of the bytes               |
      | more bytes than the limit       |
      | JSON without entries            |
      | a revision that is a text       |
      | a value that is a number        |
      | an entry with too few fields    |
      | random bytes at random places   |

  # Without a copy, such a daemon went on with what it knew.
  Scenario: A daemon that only the store refuses follows its peers
    Given a fleet of 6 daemons of one data centre
    When the store refuses one that does not watch it for 12 seconds
    Then it knew each change within 2 seconds all the while

  # A key may have been revoked.
  Scenario Outline: Daemons that the store refuses stop serving without copies
    Given a fleet of 6 daemons of three data centres, with tenants
    When the store refuses those of one data centre, and others <give> copies
    Then those daemons are <ready> within 6 seconds after a change

    Examples:
      | give        | ready     |
      | give no     | not ready |
      | give        | ready     |

  Scenario: A daemon whose peer does not respond reads the store
    Given a daemon that follows a peer which has no copy to give
    When the peer reports a large change
    Then the daemon reads it from the store

  @fixture.gateway_followers
  Scenario: Daemons that follow read a large configuration from their peers
    Given two daemons of each data centre watch the store
    When the operator changes a configuration of 300 routes 5 times
    Then all daemons have it in force
    And the store sent it to no daemon that follows others
