@fixture.gateway_followers
Feature: Daemons learn of the store's changes from peers that watch it

  Scenario: Only daemons with followers watch the store
    When the operator changes the configuration 5 times, once a second
    Then all daemons have it in force
    And two daemons of each data centre watched, and the others made stale reads

  Scenario: A change is in force in time although stale reads lag behind
    Given stale reads of the platform's store are 3 seconds old
    When the operator moves /presses/ and all daemons are polled
    Then the change was in force everywhere within 2 seconds

  Scenario: A change is in force in time while the watching daemons are frozen
    Given the two daemons of data centre a that watch the store are frozen
    When the operator moves /presses/ and the others are polled
    Then the change was in force everywhere within 2 seconds

  # The watching daemons of a data centre lost the store silently and went on
  # answering pings with their last revision, so that their followers believed
  # it to be current until the watch calls timed out.
  Scenario: Followers do not trust a watcher that has lost the store
    Given the two daemons of data centre a that watch the store lose it silently
    When the operator moves /presses/ and the others are polled
    Then the change was in force everywhere within 2 seconds

  Scenario: Instances whose entries expired during an outage stay in use
    Given the platform's store is down for 3 seconds and all entries expire
    When requests are sent to all daemons until the entries reappear
    Then all requests got the status 200

  # All daemons watch for themselves in an outage, or when the fleet starts. A
  # stale answer proves nothing, and a watch proves its revision when it ends.
  Scenario: Daemons that watch prove their revision at the price of few calls
    Given a daemon that watches the store for itself, and one with followers
    When both have watched for 1.5 seconds with a bound of 1 second
    Then both have asked the store 3 to 5 times since, and not by stale reads

  Scenario: A daemon decides whether to watch or to follow
    Given a daemon that must have changes in force within 2 seconds
    Then it watches the store until peers report a revision
    And it reads the store when a peer reports a newer revision
    And it watches again after 0.8 seconds without reports
    And it watches while it has followers
    And it watches again if peers report, but heard the store 1.5 seconds ago

  # A change may be older than the last proof by nothing: all that follows must
  # fit into the bound one after the other.
  Scenario: The waits on the way of a change fit into its bound
    Then these times add up to less than each bound from 1.5 to 7 seconds
      | way of the change        | times                                        |
      | two batches              | batch report batch lost_call retry call      |
      | old proofs               | proof lost_call retry call                   |
      | a lone watch             | lone_proof lost_call retry call              |
      | two batches at the start | start_batch report start_batch call          |
      | a removed entry          | batch report batch call missing expiry_check |

  # The store reader and the address responses kept the bounds of the start.
  Scenario: A daemon follows changed bounds at once
    Given a fleet of 9 daemons in three data centres
    When the bounds of its settings change to 1 second
    Then it watches again after 0.4 seconds without reports, not before
    And addresses may be kept for 0.25 seconds

  # A list got the revision of its first page although a later page was older,
  # so that a daemon that started kept an old configuration for good.
  Scenario: A daemon that starts keeps nothing of old pages
    Given a store whose first page is new and whose later pages are old
    And the configuration and the instances have changed just now
    When a daemon starts
    Then the first that it knows is the store as it is now

  # An answer that was older than what was known lowered the known revision, and
  # confirmed to followers a revision that it did not have itself.
  Scenario: What a daemon knows of the store never gets older
    Given a store with answers of any age that at times loses its history
    When a daemon watches and follows while keys change, from 4 seeds
    Then what it knows is always the store at one revision, never older

  Scenario: An answer of the store that is older than what is known is no news
    Given a daemon that knows revision 9 of the store
    When an exact answer has revision 5 and an old value
    Then the daemon takes the store for unavailable, and keeps what it knows

  # A replica that did not have the watched revision yet confirmed it.
  Scenario: A replica that lacks the watched revision confirms nothing
    Given a daemon with followers, whose watch hears nothing any more
    When the store goes on to revision 10, and its replicas are at revision 8
    Then the daemon knows revision 10 within a second
