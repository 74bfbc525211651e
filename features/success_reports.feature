Feature: Daemons tell each other which instances serve requests

  # Each daemon sees a part of a service's requests. Without reports, the
  # instances that serve the others look untried to it, and a request that
  # cannot be retried goes to one of them as readily as to an unhealthy one.

  Scenario: An instance that serves a peer's requests is preferred
    Given two daemons and 8 instances of which 4 serve the first daemon
    When the first daemon's reports reach the second one
    Then the next 4 requests of the second daemon go to these instances

  Scenario: A success from before a failure does not hide the failure
    Given two daemons and 8 instances of which 4 serve the first daemon
    When an instance fails, and the report of its earlier success arrives later
    Then the second daemon still avoids the instance

  Scenario: Reports of many daemons count as one
    Given two daemons and 8 instances of which 4 serve the first daemon
    When 20 daemons report the same instance at once
    Then it looks as healthy as after one report

  Scenario: A report of an earlier run of an instance is ignored
    Given two daemons and 8 instances of which 4 serve the first daemon
    When a report names an instance that has restarted since
    Then the second daemon's belief about it is unchanged

  Scenario: A daemon reports each instance twice a second at most
    Given a daemon whose 300 instances each serve 10 requests a second
    Then it sends at most 2 reports a second, of at most 1200 bytes each

  Scenario: An instance that shows a symptom is left out of the next report
    Given two daemons and 8 instances of which 4 serve the first daemon
    Then an instance that fails before the report is sent is not in it
