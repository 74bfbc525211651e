Feature: The gateway's decisions, simulated without sockets

  Scenario: A gray failure fails few non-idempotent requests
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When one fails fast on 80 % from second 5 to 10 at 20 requests a second
    Then fewer than 8 requests fail

  Scenario: A recovered instance gets non-idempotent requests again
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When one fails fast on 80 % from second 5 to 10 at 45 requests a second
    Then it gets requests again within 10 seconds of its recovery

  Scenario: Unhealthy instances get no load that healthy ones can take
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When two fail fast on 80 % from second 2 to 12 at 35 requests a second
    Then at least 90 % of the requests are served

  Scenario: With most instances unhealthy, the healthy ones meet their target
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When four fail fast on 80 % from second 2 to 14 at 40 requests a second
    Then at least 35 % of the requests are served within their target

  Scenario: Failed probes do not keep a service degraded
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When two fail fast on 80 % from second 2 to 30 at 25 requests a second
    Then fewer than 16 requests fail

  Scenario: A peer's report of degradation makes a daemon probe all instances
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When one fails fast on 80 % from second 2, with peer reports from 6 to 10
    Then each instance gets a request at least every 2 seconds meanwhile

  Scenario: A few failures are not reported to peers as degradation
    Then 2 failures of 10 requests are not reported, and 12 of 60 are

  Scenario: Degradation does not make all requests probes where load is low
    Given 100 simulated instances, each unhealthy for a quarter of the time
    When they share 60 non-idempotent requests a second for 30 seconds
    Then at least 97 % of the requests are served

  Scenario: Non-idempotent requests wait for a healthy instance
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When two fail fast on 80 % from second 2 to 14 at 45 requests a second
    Then at least 97.5 % of the requests are served

  Scenario: A recovered instance soon serves idempotent requests
    Given 6 simulated instances of 3 slots, and idempotent requests
    When two fail fast on 80 % from second 5 to 30 at 30 requests a second
    Then they serve requests again within 3 seconds of their recovery

  Scenario: While a service is degraded, every instance gets requests
    Given 6 simulated instances of 3 slots, and idempotent requests
    When all fail fast on 30 % from second 2 to 12 at 30 requests a second
    Then each instance gets a request at least every 2 seconds meanwhile

  Scenario: While degraded, few instances of each data centre are left out
    Given 30 instances in three data centres, of which 6 in this one fail
    When the service is degraded for 2 seconds, with a floor of 70 %
    Then at least 8 of the 10 instances in this data centre get a request

  # Load: 100 requests a second while many fail. The path from one daemon to
  # some instances may be the cause, and the instances of a data centre got
  # requests from the daemon there only.
  Scenario: While degraded, a daemon with enough requests covers all instances
    Given 30 instances in three data centres, of which 6 in this one fail
    When the service is degraded for 2 seconds, and this daemon covers all
    Then at least 21 of the 30 instances get a request
    And a daemon covers all instances only if it has a request for each

  # All daemons fail at some moment. The floor holds for the second before, when
  # nothing was wrong yet.
  Scenario: A service that is about to degrade has few idle instances
    Given 30 simulated instances, of which 6 always fail, and a floor of 70 %
    When 60 non-idempotent requests a second arrive for 20 seconds
    Then in each 1.25 seconds at least 70 % of the instances get a request

  Scenario: A new instance gets its first request within four seconds
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When an instance is added at second 8 at 10 requests a second
    Then the new instance gets a request within 4 seconds

  Scenario: Under overload, high priority is served and low priority is shed
    Given 6 simulated instances of 3 slots, a high and a low priority route
    When each gets 55 requests a second for 10 seconds
    Then at least 85 % of the high priority requests meet their target
    And all requests end within 4 seconds, served or refused
    And the median refusal takes less than a second

  Scenario: Latency recovers within 5 seconds of a burst
    Given 6 simulated instances of 3 slots, a high and a low priority route
    When each gets 100 requests a second for 3 seconds and then 20
    Then from 5 seconds after the burst all requests meet twice their target

  Scenario: Retries stay within the retry budget
    Given 6 simulated instances of 3 slots, and idempotent requests
    When all fail fast on 60 % from second 2 to 20 at 30 requests a second
    Then no window of 10 seconds has more retries than a fifth and the slack

  Scenario: A retry that finds no other instance costs no budget
    Given a single simulated instance that fails each idempotent request
    When 10 requests a second arrive for 2 seconds
    Then each request was sent once, and no retry is counted

  Scenario: A daemon that stops and its successor share the retry budget
    Given two daemons that count the retries of one service separately
    When both see 5 requests, and each gets a slack of 30 retries
    Then they make at most 32 retries together in one window

  Scenario: Slow instances nearby get no load that others can take
    Given 6 simulated instances of 3 slots, and non-idempotent requests
    When two take 20 times as long from second 5 to 20 at 24 requests a second
    Then at most 6 requests go to the slow ones once they are detected

  Scenario: An idempotent request to a silent instance is retried on another one
    Given 6 simulated instances of 3 slots, and idempotent requests
    When one is silent from second 5 to 10 at 10 requests a second
    Then all requests are served

  Scenario: A request is refused only if its deadline cannot be met
    Given 6 simulated instances of 3 slots, a high and a low priority route
    When each gets 100 requests a second for 3 seconds and then 20
    Then at each refusal more requests are in progress than there are slots

  Scenario: Late writes and expired entries of the instance list
    Given a registry with a drain time of 2 seconds
    Then an older entry is ignored
    And draining is final for an incarnation, but not for the next
    And a missing entry is kept for 0.4 seconds and then removed
    And an entry that expired during an outage is kept for 2 seconds
    And a late write does not restore an ended incarnation

  Scenario: A traffic split follows its weights over any few requests
    Given a route split 70, 20 and 10
    Then of any 50 requests in a row each target gets its share within 2

  Scenario: Callers are sent to the nearest daemons that respond
    Given a fleet of 9 daemons in three data centres
    Then a caller is sent to one daemon of its data centre
    And a silent daemon is replaced by another of its data centre
    And a leaving daemon is replaced at once
    And a busy daemon is joined by a second one
    And a caller without daemons nearby is sent to another data centre

  Scenario: Callers are sent to the largest daemons, as many as the load needs
    Given a data centre with 2 large and 20 small daemons
    When callers use 0.9 cores and 40 Mbit/s for 5 s
    Then they are sent to 1 large daemon
    When callers use 0.9 cores and 150 Mbit/s for 5 s
    Then they are sent to 2 large daemons

  Scenario: The load of failed large daemons is spread over enough small ones
    Given a data centre with 2 large and 20 small daemons
    When callers use 0.7 cores and 30 Mbit/s for 5 s
    And both large daemons fail
    Then within a second callers are sent to enough small ones for the load

  Scenario: An address response has no more daemons than callers accept
    Given a data centre with 2 large and 200 small daemons
    When callers use 300 cores and 9000 Mbit/s for 5 s
    Then callers are sent to 64 daemons

  Scenario Outline: An invalid entry is reported with its instance's id
    When an entry has <fault>
    Then it is invalid and has the instance's id

    Examples:
      | fault                   |
      | no service              |
      | no capacity             |
      | a text for capacity     |
      | an unknown state        |
      | no port                 |
      | a fraction for born     |
      | bytes that are not JSON |

  Scenario: Settings with a bound that is not a number are refused
    When the settings have drain_s=soon
    Then they are refused with an error that names drain_s

  Scenario Outline: Settings with a bound out of range are refused
    When the settings have drain_s=<value>
    Then they are refused with an error that names drain_s

    Examples:
      | value |
      | nan   |
      | inf   |
      | -1    |

  Scenario Outline: An invalid configuration is refused
    When a configuration has <fault>
    Then it is refused with a reason

    Examples:
      | fault              |
      | been truncated     |
      | an unknown service |
      | a bare prefix      |
      | no weight          |
      | no version         |

  Scenario: Requests of an unknown kind run at most once
    When a configuration has an unknown kind
    Then it is in force, and the requests of its route run at most once

  Scenario: One odd part in the store or the settings never ends the daemon
    When each part of a configuration, an entry and the settings is odd in turn
    Then each of them is used or refused with a reason

  Scenario: Names of the platform's interfaces appear in its own folder only
    Then no source outside platform/ contains its fields, headers or keys
