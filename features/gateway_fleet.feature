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
  # Answers are written in order. Those behind a request that outlasted the stop
  # were ready, and were dropped with the connection.
  Scenario: A stop delivers the answers behind a request that outlasts it
    Given a caller that pipelines a request of 9 seconds and 3 short ones
    When their daemon shuts down
    Then the short ones were answered with 200, behind a 504 for the first

  Scenario: A graceful shutdown answers all requests of a caller that pipelines
    Given instances of presses that take 300 ms
    When a caller pipelines a request each 100 ms while its daemon shuts down
    Then each request that an instance ran was answered
    And the last response announced the end of the connection

  # Requests that no instance had got by the end of a stop's time ended with
  # their connections, without an answer.
  Scenario: A stop answers requests that wait for an instance
    Given instances of presses that take 3000 ms and have all slots in use
    When a request is sent to g4, which is stopped while it waits
    Then the waiting request gets 503 within the grace time, as not run
    And no instance ran it

  Scenario: Requests that would wait at the end of a stop are refused at once
    Given a gateway whose instances have no free slot, and a waiting request
    When the time of a stop is nearly over, and another request arrives
    Then both are refused at once, as not run, and may be retried

  Scenario Outline: A stop passes on no request that it would cut off
    Given a gateway that knows that its requests take 2 seconds
    When a stop begins that ends in <left_s> seconds
    Then a request <result> at once

    Examples:
      | left_s | result         |
      | 0.5    | is refused     |
      | 8      | is not refused |

  Scenario: A late request at the end of a stop goes on without a hedge
    Given a gateway that knows that its requests take 0.2 seconds
    When a stop begins while a request is late, and ends in 0.5 seconds
    Then the late request goes on without a hedge

  Scenario: A failure seen by one daemon makes its peers suspect the instance
    Given all instances of deposits have the fault fail
    When a platform caller sends POST /deposits/1 to the serving daemon of a
    Then the serving daemon of b suspects the same instance
