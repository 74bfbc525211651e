@fixture.gateway
Feature: A gateway daemon serves requests on the users' platform

  Scenario: A request gets the signed response of an instance
    When a platform caller sends GET /presses/7?x=1 to g1
    Then the platform response is 200 and signed
    And the instance received the request id, a reduced deadline and its own id

  Scenario: The longest prefix of a host matches, and other hosts have no route
    When the operator adds the prefix /presses/old/ for deposits
    Then GET /presses/old/1 goes to an instance of deposits
    And GET /presses/1 goes to an instance of presses
    And GET /presses/1 of another host gets the status 404

  Scenario: HEAD is routed like GET
    When a platform caller sends HEAD /presses/7 to g1
    Then the platform response is 200 and signed

  Scenario: A request with both content-length and transfer-encoding is refused
    When a raw request with both content-length and transfer-encoding is sent
    Then the raw platform response has status 400

  Scenario: An incomplete request head times out with status 408
    When half a request head is sent and nothing more
    Then the raw platform response has status 408

  Scenario: An idle connection is closed without a response
    When a caller sends one request and then stays idle
    Then its connection is closed without further bytes

  Scenario: A connection is reused after less than the idle time-out
    When a caller sends two requests with half the idle time-out between
    Then both of its requests get the status 200

  Scenario: Pipelined requests run concurrently and are answered in order
    When a caller pipelines 4 requests to slow instances
    Then the responses arrive in order in less than the time of two requests

  Scenario: Idempotent requests are cancelled when their caller disconnects
    Given the instances of presses take 5 seconds
    When a caller sends 3 pipelined GETs and closes its connection
    Then the instances have cancelled all 3 within half a second

  Scenario Outline: A faulty response is never forwarded as a complete one
    Given all instances of deposits have the fault <fault>
    When a platform caller sends POST /deposits/1 to g1
    Then the platform response is <status>

    Examples:
      | fault    | status |
      | truncate | 502    |
      | drop     | 502    |
      | unsigned | 502    |
      | unframed | 200    |
      | late     | 200    |
      | shed     | 503    |
      | moved    | 503    |

  # Callers of another system got a 200 with an empty or short body, framed as
  # whole, from an instance that stopped in the middle of its response's head.
  Scenario: A response whose head is cut off never reaches the caller as one
    Then a response of deposits that is cut off after any part of its head is 502

  Scenario: A body without end is cut off visibly at the caller's deadline
    Given all instances of presses have the fault endless
    When 12 callers with a deadline of 1.5 seconds read GET /presses/1 at once
    Then each sees its response break off within 2.5 seconds
    And the peak memory of g1 grew by less than 16 MB
    And g1 has no requests in flight, and the instances have cancelled all 12

  Scenario: An idempotent request is retried on another instance after a failure
    Given one instance of presses fails
    When 20 GETs of /presses/1 are sent to g1
    Then all of them get the status 200

  Scenario: A non-idempotent request is not retried after it may have run
    Given all instances of deposits have the fault drop
    When a platform caller sends POST /deposits/1 to g1
    Then the request ran exactly once

  Scenario: A request to a silent instance fails at the route's time-out
    Given all instances of deposits have the fault silent
    When a platform caller sends POST /deposits/1 to g1
    Then the platform response is 504 within 3.3 seconds
    And the request ran exactly once

  Scenario: A 503 response has a retry-after header
    Given all instances of deposits have the fault shed
    When a platform caller sends POST /deposits/1 to g1
    Then the platform response is 503 with a retry-after header

  Scenario: A traffic split follows its weights
    When 40 GETs of /mixed/1 are sent to g1
    Then 30 of them went to presses

  Scenario: A newer configuration is applied, and an older one is ignored
    When the operator moves /presses/ to deposits
    Then GET /presses/1 goes to an instance of deposits
    When the operator writes the previous configuration again
    Then GET /presses/1 goes to an instance of deposits

  Scenario: An invalid configuration is ignored
    When the operator writes a truncated configuration
    Then GET /presses/1 goes to an instance of presses

  Scenario Outline: A leaving instance gets no more requests
    When i-presses-1 <leaves>
    Then g1 sends it no more requests

    Examples:
      | leaves                    |
      | is listed as draining     |
      | is removed from the list  |
      | has an invalid list entry |

  Scenario: A late write of an older entry does not undo draining
    When i-presses-1 is listed as draining and an older entry follows
    Then g1 sends it no more requests

  Scenario: Daemons keep serving during an outage of the store
    Given the platform's store is down
    When 20 GETs of /presses/1 are sent to g1
    Then all of them get the status 200

  Scenario: A change is applied after the store compacted its history
    When /presses/ is moved while the store is down and compacts its history
    Then GET /presses/1 goes to an instance of deposits

  Scenario: A daemon that starts during an outage of the store responds with 503
    Given the platform's store is down
    When g2 is killed and starts again
    Then GET /presses/1 at g2 gets the status 503 and never 404

  Scenario: Changed settings are reloaded without a signal
    When the settings file of g1 changes
    Then g1 logs that the settings are in force

  # A stop took the grace time of the start, and cut bookings that ran.
  Scenario: A stop takes the settings that are in force
    Given the settings file of g1 gets a grace time of 3 seconds, and a SIGHUP
    And then one of 7 seconds, without a signal
    When g1 is stopped at once
    Then it logs a stop with a grace time of 7 seconds
    And it ends with exit code 0

  # A second SIGTERM ended the process at once, with all requests in flight.
  Scenario: A second SIGTERM during a stop changes nothing
    Given instances of presses that take 600 ms
    When a request is sent to g1, which is stopped twice before the response
    Then the request is answered
    And it ends with exit code 0

  # A SIGHUP in the first quarter of a second ended the process.
  Scenario: A daemon that starts survives the news of changed settings
    When g1 is started again and gets a SIGHUP each 10 ms
    Then it becomes ready, and ignored the signal until it could handle it

  Scenario: The log has the decisions on a request under its request id
    Given all instances of deposits have the fault drop
    When a platform caller sends POST /deposits/1 to g1
    Then the log has the route, the instance and the outcome for its id

  Scenario: A daemon recovers quickly from a store that stopped responding
    Given the platform's store sends no responses for 9 seconds
    When it responds again and the operator moves /presses/ at once
    Then the change is in force within 2 seconds

  Scenario: The tool shows a daemon's view of the platform
    When the operator runs the tool's gateway command for g1
    Then it shows the version, the services and the instances

  Scenario: The tool shows why the newest configuration is not in force
    When the operator writes a truncated configuration
    And the operator runs the tool's gateway command for g1
    Then it shows the version, the services and the instances
    And it shows that the newest configuration is refused, with a reason

  # A request that named Host could not be encoded for the instance, and the
  # error ended the process with all requests in flight.
  Scenario Outline: A request may list any header as an option of its connection
    When a platform caller sends GET /presses/1 with Connection <options>
    Then its platform response is 200 and signed
    And an instance of presses ran the request
    And all daemons run on, and a request beside it was served

    Examples:
      | options                                |
      | host                                   |
      | keep-alive, HOST , request-id          |
      | Deadline-Ms, Content-Length, x, , host |
