Feature: The quotas of tenants, kept by all daemons together

  # Each scenario but those of the gateway plays simulated daemons. A hot tenant
  # sends 4.5 times its quota, which is 7.5 times its usual load.

  Scenario Outline: Hot tenants stay within the rule with <fault>
    Given 6 daemons that lose 2 % of their messages, and hot tenants
    When there is <fault> for 8 seconds
    Then no window of 5 seconds has more requests of a tenant than the rule

    Examples:
      | fault                                          |
      | a daemon that is killed and started again      |
      | a daemon that starts every second              |
      | a start of all daemons                         |
      | a daemon that is cut off                       |
      | a daemon that is not heard                     |
      | a daemon that does not hear                    |
      | a partition into 3 and 3                       |
      | a partition into 2, 2 and 2                    |
      | two pairs that only the third hears            |
      | a daemon that is frozen for 4 seconds          |
      | a loss of 20 % of the messages                 |
      | a tenfold load while nobody hears another      |

  Scenario Outline: A hot tenant gets its quota wherever its callers are
    Given <count> daemons that lose 2 % of their messages, and no tenants yet
    When callers at <place> send 4.5 times the quota
    Then at least 95 % and at most 110 % of the quota is used from second 6

    Examples:
      | count | place                            |
      | 3     | all daemons                      |
      | 6     | all daemons                      |
      | 6     | one daemon                       |
      | 6     | one daemon, another each 5 s     |

  Scenario Outline: Small tenants are not refused for chance alone
    Given <count> daemons with 70 small tenants and 7 large ones
    When callers at <place> send the usual load
    Then at most 0.5 % of the requests are refused from second 25
    And no daemon sends 5000 bytes a second, and no report has 1200

    Examples:
      | count | place       |
      | 3     | all daemons |
      | 6     | all daemons |
      | 6     | one daemon  |

  # Load: the usual one, from a start of all daemons. Most members are reserves
  # without callers. Reports to all of them took the bytes of the reports to
  # those with callers, which then had their floors only.
  Scenario: The usual load is served from the start, with members in reserve
    Given 10 daemons with 70 small tenants and 7 large ones
    When callers at three daemons send the usual load
    Then at most 3 % of the requests are refused in the first 10 seconds

  Scenario Outline: Stray requests at 131 daemons add up to the rule
    Given 6 serving daemons and 131 others, and a tenant of <rate> a second
    When the tenant sends <load> of its quota, and each other daemon gets 2
    Then no window of 5 seconds has more requests of a tenant than the rule

    Examples:
      | rate | load |
      | 1.6  | 0.6  |
      | 20   | 0.6  |
      | 20   | 4.5  |

  Scenario: A single stray request is served although nobody knows the daemon
    Given 6 serving daemons and 131 others, and a tenant of 1.6 a second
    When one request arrives at each of 5 others, 3 seconds apart
    Then all 5 of them are served

  Scenario: A lowered quota is binding within a window, and a raised one fills
    Given 6 daemons that lose 2 % of their messages, and a hot tenant
    When its quota of 100 is lowered to 10 in second 10, and to 50 in second 20
    Then it uses at most 16 a second from second 12, and 48 from second 24

  Scenario: A refused caller that returns when told to is served
    Given a daemon by itself, and a tenant of 10 a second that used up its quota
    Then a caller that returns after the time it was told is served
    And 40 callers refused at once are told times that are 2 seconds apart

  Scenario: A request that has not run returns its token
    Given a daemon by itself, and a tenant of 10 a second that used up its quota
    When one of its requests ends without having run
    Then the next one is admitted, and the one after it refused

  Scenario: Odd reports change nothing beyond the bounds of a report
    Given a daemon of two, and a tenant of 10 a second with little load
    When the other reports odd numbers, unknown tenants and 10000 entries
    Then the tenant is served again within 15 seconds
    And the daemon keeps no other tenant

  Scenario: Tenants without requests cost nothing
    Given a daemon by itself that knows 100000 tenants
    When 3 of them send requests, and stop
    Then 3 tenants are kept, and none 11 seconds later

  Scenario: A gateway without tenants neither sends nor schedules anything
    Given a gateway whose peers are known
    When a request without a tenant is served
    Then no message on quotas is sent, and no round is due

  Scenario: A gateway refuses what is beyond the quota, and says when to return
    Given a gateway whose peers are known
    When 60 requests of a tenant of 2 a second arrive at once
    Then the ones beyond the rule get 429, as not run, with a time to return
    And the other tenant is served

  Scenario: Requests that the instances refuse do not use up the quota
    Given a gateway without instances
    When 100 requests of a tenant of 2 a second arrive one after another
    Then none of them is beyond the quota

  Scenario: A report on quotas survives its encoding, and a malformed one fails
    Then a report is decoded as it was encoded, with at most 64 entries
    And reports with infinite numbers or without a sequence are refused

  Scenario: A request that was sent keeps its token when its caller has gone
    Given a gateway whose peers are known
    When the caller of a request that was sent to an instance disconnects
    Then its token is not returned

  Scenario: The parts of all sides of any partition add up to the quota
    Then for 2 to 12 daemons and any sizes of three sides they are at most 1

  Scenario: Reports go to serving daemons, and those of strangers are ignored
    Given a peer monitor that knows 4 serving daemons and 2 others
    When it gets a report to send, and reports of a peer and of a stranger
    Then each other serving daemon gets its own acknowledgement
    And the gateway gets the report of the peer alone

  Scenario: Only a calm tenant's requests need no report
    Given a full pool of two daemons, which one of them takes 5 requests from
    Then it still counts them a second later if the other demands the rate
    And it counts none of them if the other demands nothing
