@fixture.gateway_pair
Feature: Gateway daemons find each other and share their view of instances

  Scenario: All daemons send a caller to the same daemon of its data centre
    When a caller in each data centre resolves the address at each daemon
    Then all return the same daemon, which is in the caller's data centre

  Scenario: Callers are no longer sent to a killed daemon
    When the serving daemon of data centre a is killed
    Then callers are sent to another daemon of data centre a within two seconds

  Scenario: A graceful shutdown loses no request
    Given callers that query the address and send requests without pause
    When the serving daemon of data centre a gets SIGTERM
    Then it exits within its grace period with exit code 0
    And no caller lost a request

  # A caller that always has a request outstanding kept its connection open, and
  # its requests were taken and passed on until the end of the grace time cut
  # them off.
  Scenario: A graceful shutdown answers all requests of a caller that pipelines
    Given instances of presses that take 300 ms
    When a caller pipelines a request each 100 ms while its daemon shuts down
    Then each request that an instance ran was answered
    And the last response announced the end of the connection

  Scenario: A failure seen by one daemon makes its peers suspect the instance
    Given all instances of deposits have the fault fail
    When a platform caller sends POST /deposits/1 to the serving daemon of a
    Then the serving daemon of b suspects the same instance
