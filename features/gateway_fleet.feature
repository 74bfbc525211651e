@fixture.gateway_pair
Feature: Gateway daemons find each other and share what they see

  Scenario: All daemons name the same one of a caller's data centre
    When a caller in each data centre asks each daemon where to connect
    Then all name the same daemon, which stands in the caller's data centre

  Scenario: A daemon that was killed is no longer named
    When the daemon that is named in data centre a is killed
    Then another daemon of data centre a is named within two seconds

  Scenario: A planned stop loses no request
    Given callers who ask where to connect and send without pause
    When the daemon that is named in data centre a is asked to stop
    Then it ends within its time with exit code 0
    And no caller lost a request

  Scenario: What one daemon sees of an instance the others know
    Given all instances of deposits fail
    When a platform caller sends POST /deposits/1 to the named daemon of a
    Then the named daemon of b suspects the same instance
