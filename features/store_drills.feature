@fixture.gateway_followers
Feature: Daemons live through a store that comes back from an older copy

  # Revisions are given out again after a drill. Daemons compared them with those
  # of the earlier era: they went on from a revision with another history, and
  # never read the configuration that was written before it.
  Scenario Outline: A change at the return of the store is in force everywhere
    Given all daemons know 6 changes that a copy of the store lacks
    When the store comes back from that copy, and has <count> newer changes
    Then the first of them, of the configuration, is in force within 2 seconds

    Examples: The new revision is below, at and above the one that was known
      | count |
      | 3     |
      | 6     |
      | 12    |

  # A removal that no daemon reads is not written again: requests went to the
  # instance until it had ended, and after. An entry that is missing 2 seconds
  # after the return counts as gone, and the drain bound is 2 seconds.
  Scenario Outline: An instance that leaves at the return of the store is not used
    Given all daemons know 6 changes that a copy of the store lacks
    When the store comes back from that copy, has <count> newer changes, and an instance is removed by the first of them
    Then no daemon uses the instance after 4 seconds

    Examples: The new revision is below, at and above the one that was known
      | count |
      | 3     |
      | 6     |
      | 12    |

  # An entry was written again when its lease was due for renewal, minutes later.
  Scenario: Daemons write their lost entries again
    When the store comes back from a copy without any entry
    Then it has the entries of all daemons within 5 seconds

  Scenario: A change after two drills is in force everywhere
    Given all daemons know 6 changes that a copy of the store lacks
    When the store comes back from that copy, and has 12 newer changes
    And the store comes back from that copy, and has 8 newer changes
    Then the first of them, of the configuration, is in force within 2 seconds
