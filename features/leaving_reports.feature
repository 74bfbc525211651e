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

  Scenario: Each drain is reported once, in packets of a bounded size
    Given a registrar that has listed 70 instances
    When all of them begin to drain in one change of the store
    Then 3 reports name each of them once, in at most 1400 bytes each
    And the same change again is not reported

  Scenario: Only daemons that watch the store send reports
    Given a fleet of 9 daemons in three data centres
    When the monitor issues a report without watching the store, and then with
    Then only the second report is sent, once to each other serving daemon
