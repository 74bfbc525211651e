Feature: Daemons that watch the store tell the others which instances leave

  # A daemon was paused while an instance began to leave, and the store was down
  # when it resumed. It sent requests to the instance until the store was back.
  Scenario: A daemon without the store learns from a peer that an instance leaves
    Given a daemon with 6 listed instances that cannot read the store
    When a peer reports that the first instance leaves
    Then the first instance gets no more requests, and the others do

  Scenario: A leaving instance stays out of use when an old list is published
    Given a daemon with 6 listed instances that cannot read the store
    When a peer reports that the first instance leaves
    And the list without its drain is published again
    Then the first instance gets no more requests, and the others do

  Scenario: A run that has ended gets no request after the next run leaves
    Given a daemon with 6 listed instances that cannot read the store
    When a peer reports that a later run of the first instance leaves
    Then the first instance gets no more requests, and the others do

  Scenario: A report on an earlier run of an instance has no effect
    Given a daemon with 6 listed instances that cannot read the store
    When a peer reports that an earlier run of the first instance leaves
    Then all instances get requests

  # An instance that leaves says so in its responses too. The store may be down,
  # so that no entry says it, or an old one says that the instance is ready.
  Scenario Outline: An instance that says it leaves gets no more requests
    Given a daemon with 6 listed instances that cannot read the store
    When responses of the first instance say from second 5 that it leaves
    And at second 8 <event>
    Then the first instance gets requests <outcome>
    And one report tells the other daemons that it leaves

    Examples:
      | event                                   | outcome             |
      | nothing happens                         | until second 6 only |
      | its responses do not say so any more    | until second 6 only |
      | the list without its drain is published | until second 6 only |
      | its entry expires and reappears         | until second 6 only |
      | a new run of it is listed               | after second 9      |

  Scenario: Each drain is reported once, in packets of a bounded size
    Given a registrar that has listed 70 instances
    When all of them begin to drain in one change of the store
    Then 3 reports name each of them once, in at most 1400 bytes each
    And the same change again is not reported

  Scenario: Only daemons that watch the store send reports
    Given a fleet of 9 daemons in three data centres
    When the monitor issues a report without watching the store, and then with
    Then only the second report is sent, once to each other serving daemon

  Scenario: A daemon that does not watch the store reports what instances say
    Given a fleet of 9 daemons in three data centres
    When the monitor issues a report of an instance's own word without watching
    Then the report is sent, once to each other serving daemon
