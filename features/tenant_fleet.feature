@fixture.gateway_pair
Feature: Gateway daemons stop serving a revoked key in time

  Background:
    Given the tenant ada with the keys old and kept, and daemons that know them

  Scenario: A revoked key ends on an open connection, also for pipelined requests
    Given a caller that pipelines requests with the key old on one connection to g1
    When the key old is replaced by the key new
    Then no request with the key old ran that was sent later than 1 second after
    And a request with the key new is served by g1

  # A restarted daemon that trusted old pages would serve keys again.
  Scenario: A restarted daemon does not serve revoked keys from stale pages
    Given stale reads of the platform's store are 3 seconds old
    When the key old is replaced by the key new
    And g1 is killed and started again, while a caller uses the key old
    Then no request with the key old ran that was sent later than 1 second after
    And a request with the key new is served by g1

  # The two daemons of data centre a watch the store for it, and ping only each
  # other while both respond. Those of other data centres have copies.
  Scenario Outline: Daemons that the store turns away serve by copies of others
    Given a caller that pipelines requests with the key old on one connection to g1
    When the store is <fault> to g1,g4, and the key old is replaced by the key new
    Then no request with the key old ran that was sent later than 6 seconds after
    And a request with the key new is served by g1
    And a request with the key new is served by g4
    And g1 read the change from the copy of another daemon
    And all daemons are ready

    Examples:
      | fault  |
      | busy   |
      | silent |

  # The last change before an outage has reached one daemon only.
  Scenario: All daemons go on if none of them can reach the store
    When a key is added, and the store is down a moment later for 8 seconds
    Then a request with the key kept is served by each daemon

  Scenario: A frozen daemon does not serve a revoked key when it wakes
    When the store is silent to g1, and the key old is replaced by the key new
    And g1 is frozen for 8 seconds, and gets requests with the key old at the end
    Then no request with the key old ran that was sent later than 6 seconds after
    And g1 is ready again once the store answers it
    And a request with the key new is served by g1

  Scenario: No log line, metric or status page has a key
    When requests with known and unknown keys are sent to g1, also malformed ones
    Then neither the log nor the pages of g1 have a key
    And the metrics of g1 have the tenant ada
    And the tool's gateway command shows 1 tenant and that g1 is current

  Scenario: Strict daemons refuse requests while nothing confirms their keys
    Given the settings revoke keys strictly within 2 seconds
    Then a request with the key kept is served by each daemon for 4 seconds
    When the store is down for 4 seconds
    Then each daemon refuses a request with the key kept as stale
    And once the store is back, each daemon serves it
