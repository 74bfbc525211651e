Feature: Revisions of two eras of the store are never compared

  # A daemon that compares revisions only takes a peer that has not heard of a
  # drill for a newer one, and an answer of the later era for a part of the
  # history that it knows.
  Scenario: All daemons in touch know the store after drills
    Given fleets with data centres of 1 to 16 daemons and 3 s old stale reads
    When the store is restored while paths fail at random, from 60 seeds
    Then each daemon in touch knew each change within 2 seconds
    And each daemon always knew the store as it was at one position

  Scenario: Pages of two eras make no list
    Given a listing with a page of era 1 at revision 9
    When a page of era 2 at revision 3 follows
    Then the listing has to be read again

  # The list was read from stale pages again and again, until all replicas had
  # entered the era.
  Scenario: A daemon that starts lists no replica of an earlier era twice
    Given a store whose stale pages are of an earlier era
    When a daemon starts and reads it
    Then it knows the store within a second

  Scenario Outline: An answer of another era is not taken for later changes
    Given a call for the changes after revision 9 of era 2
    When it is answered by <answer>
    Then the answer is <result>

    Examples:
      | answer               | result                 |
      | revision 9 of era 2  | used                   |
      | revision 12 of era 2 | used                   |
      | revision 12 of era 3 | a lost history         |
      | revision 9 of era 3  | a lost history         |
      | revision 12 of era 1 | refused with code 5005 |
      | revision 12 of era 0 | refused with code 5005 |

  Scenario Outline: The header that states the era is checked
    Given a response of the platform's store whose era is "<header>"
    Then the era is <result>

    Examples:
      | header               | result                 |
      | (none)               | 0                      |
      | 1                    | 1                      |
      | 42                   | 42                     |
      | -1                   | refused with code 5005 |
      | 1.0                  | refused with code 5005 |
      | two                  | refused with code 5005 |
      | 99999999999999999999 | refused with code 5005 |

  # A daemon that had missed a drill confirmed its higher revision to others, or
  # made them wait for changes up to it.
  Scenario: The report of a peer of an earlier era tells nothing
    Given a daemon that knows revision 5 of era 2
    When a peer reports revision 9 of era 1
    Then the daemon neither reads the store for it nor relies on it

  Scenario: The report of a peer of a later era ends what was proved before
    Given a daemon that knows revision 5 of era 2
    When a peer reports revision 3 of era 3
    Then the daemon reads all keys from the copy of that peer

  Scenario: A daemon with outdated tenants is told so by a later era
    Given a guard of tenants that has read revision 9 of era 1
    When a peer reports revision 3 of era 2, and revision 9 of era 1 once more
    Then the tenants are outdated until revision 3 of era 2 is read

  Scenario: The copy of a daemon is whole for a reader of another era
    Given a copy at revision 4 of era 2, with a key of revision 2
    Then a reader at revision 3 of era 1 gets all its keys
    And a reader at revision 3 of era 2 gets the later changes

  # Followers would read each change from a copy until the later era had reached
  # the revision.
  Scenario: A copy names large values of its own era only
    Given a copy with a large value at revision 90 of era 1
    When it gets all keys at revision 4 of era 2, none of them large
    Then it names no large revision

  # The entry of an instance that had left was in the older copy.
  Scenario: An instance that has left is not used again after a drill
    Given a registrar that knows instances "x", "y" and "z"
    When "x" is removed, and "y" says that it leaves
    And the store comes back with "x", "y" and "z" as they were before
    Then "x" is removed in time, and "y" is still leaving

  Scenario: What an older copy lacks is kept until it is written again
    Given a registrar that knows instances "x", "y" and "z"
    And it knows daemons "d1" and "d2" and version 5 of the configuration
    When the store comes back with "x", "d1" and version 4 of the configuration
    Then version 5 of the configuration stays in force
    And "y" and "z" are in use for 2 seconds, and "z" longer if written again
    And "d2" is listed for 8 seconds
