Feature: Tenants, keys and revocation are decided without a network

  # Wrong reuse of digests would keep a revoked key valid.
  Scenario: A table built from the previous one equals a new one
    When tenants and keys are changed 300 times at random
    Then each table finds the same tenants as one that is built anew

  Scenario: A lookup costs the same among 100,000 tenants as among 10
    When tables of 10 and of 100,000 tenants with two keys each are searched
    Then a lookup in the large one takes at most 3 times as long
    And one changed key costs at most 3 new digests

  # One odd entry must cost no other tenant its service, and no key must get
  # into a log line or onto a status page by way of a fault.
  Scenario Outline: An odd tenant costs others nothing, and its faults name no key
    When the tenant bob and the entry <entry> are decoded
    Then bob's key is known, and secret is <known>
    And there are <count> faults, which do not contain the key

    Examples:
      | entry                                                         | known   | count |
      | {"name": "a", "api_keys": ["secret"]}                         | known   | 0     |
      | {"name": "a", "api_keys": ["secret", "", 7, null]}            | known   | 1     |
      | {"name": "a", "api_keys": ["secret"], "priority": "secret"}   | known   | 1     |
      | {"name": "a", "api_keys": ["secret"], "priority": 1000000}    | known   | 0     |
      | {"name": "a", "api_keys": ["secret"], "rate_per_s": null}     | known   | 0     |
      | {"name": "a", "api_keys": ["secret"], "rate_per_s": -1}       | unknown | 1     |
      | {"name": "a", "api_keys": ["secret"], "rate_per_s": "secret"} | unknown | 1     |
      | {"name": "a", "api_keys": ["secret"], "burst": 1e999}         | unknown | 1     |
      | {"name": "a", "api_keys": ["secret"], "burst": NaN}           | unknown | 1     |
      | {"name": "", "api_keys": ["secret"]}                          | unknown | 1     |
      | {"name": " a", "api_keys": ["secret"]}                        | unknown | 1     |
      | {"name": "a\r\nb: c", "api_keys": ["secret"]}                 | unknown | 1     |
      | {"name": ["secret"], "api_keys": ["secret"]}                  | unknown | 1     |
      | {"name": "a", "api_keys": "secret"}                           | unknown | 1     |
      | {"name": "a"}                                                 | unknown | 1     |
      | "secret"                                                      | unknown | 1     |
      | null                                                          | unknown | 1     |
      | {"name": "a", "api_keys": ["secret", "key-bob-2"]}            | known   | 1     |
      | {"name": "bob", "api_keys": ["secret"]}                       | known   | 1     |

  # The revision rises with each instance entry, several times a second.
  Scenario: A follower that reads in time is never taken for outdated
    Given a daemon with a bound of 2.5 seconds on changes
    When peers report a new revision 10 times a second, which it reads 0.9 s later
    Then it is always ready

  Scenario Outline: A daemon that the store turns away stops in time
    Given a daemon with a bound of 2.5 seconds on changes
    When it reads nothing from 0 s on, and peers report new revisions from <from> to <until> s
    Then it is not ready from <not_ready> s on, and refuses requests from <refuses> s on

    Examples: the store can be reached, and was lost by all at once
      | from | until | not_ready | refuses |
      | 0.2  | 20    | 2.7       | 5.2     |
      | 3.5  | 20    | 6.0       | 7.0     |
      | 0.2  | 0.9   | never     | never   |
      | 0.2  | 2.7   | 2.7       | never   |

  Scenario: A read ends the refusal, also of a revision that never existed
    Given a daemon with a bound of 2.5 seconds on changes
    When a peer reports revision 1000000 and the daemon reads revision 12 later
    Then it is always ready

  Scenario: A strict daemon refuses what nothing confirms, without a newer revision
    Given a daemon whose keys are revoked strictly within 5 seconds
    When it reads nothing from 0 s on, and peers report no revisions
    Then it is not ready from 5.0 s on, and refuses requests from 5.0 s on

  # Requests that a frozen daemon had received ran with a key that was revoked
  # while it was frozen.
  Scenario: A daemon that was frozen refuses requests until its keys are confirmed
    Given a gateway with the tenant ada, whose keys were confirmed just now
    When it does not run for 10 seconds, and then gets a request with ada's key
    Then the request is refused as not run, by a daemon that is stale
    And once its keys are confirmed, a request is served

  Scenario: The priority of a tenant goes before that of the route
    Given a gateway with the tenant ada, whose keys were confirmed just now
    When all slots are in use, and requests of bob and then of ada arrive
    Then the instances get ada's request first
