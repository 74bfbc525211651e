@fixture.gateway
Feature: A gateway daemon serves the users' platform

  Scenario: A request reaches an instance and its signed answer comes back
    When a platform caller sends GET /presses/7?x=1 to g1
    Then the platform answer is 200 and signed
    And the instance got the id, less time than the caller gave, and its own id

  Scenario: The longest prefix of the host wins, and other hosts have no route
    When the operator adds the prefix /presses/old/ for deposits
    Then GET /presses/old/1 goes to an instance of deposits
    And GET /presses/1 goes to an instance of presses
    And GET /presses/1 of another host is answered with 404

  Scenario: HEAD is routed like GET
    When a platform caller sends HEAD /presses/7 to g1
    Then the platform answer is 200 and signed

  Scenario: A request with two lengths is refused
    When a raw request with both content-length and transfer-encoding is sent
    Then the raw platform answer has status 400

  Scenario: A head that never ends is answered with 408
    When half a head is sent and nothing more
    Then the raw platform answer has status 408

  Scenario: A connection that stays idle is closed without an answer
    When a caller asks once and then stays idle
    Then its connection is closed without further bytes

  Scenario: A connection is used again after it was idle for less than the limit
    When a caller asks, waits for half the idle limit, and asks again
    Then both of its requests are answered with 200

  Scenario: Pipelined requests run at once and are answered in order
    When a caller pipelines 4 requests of which the first is slow
    Then they are answered in order within the time of two

  Scenario: A caller that leaves stops the work on what may run again
    Given the instances of presses take 5 seconds
    When a caller sends 3 pipelined GETs and closes its connection
    Then the instances have cancelled all 3 within half a second

  Scenario Outline: A spoiled answer never looks whole
    Given all instances of deposits <fault>
    When a platform caller sends POST /deposits/1 to g1
    Then the platform answer is <status>

    Examples:
      | fault    | status |
      | truncate | 502    |
      | drop     | 502    |
      | unsigned | 502    |
      | unframed | 200    |
      | late     | 200    |
      | shed     | 503    |
      | moved    | 503    |

  Scenario: What may run again is tried elsewhere after a failure
    Given one instance of presses fails
    When 20 GETs of /presses/1 are sent to g1
    Then all of them are answered with 200

  Scenario: What must not run twice is not tried again after it may have run
    Given all instances of deposits drop
    When a platform caller sends POST /deposits/1 to g1
    Then the request ran exactly once

  Scenario: A silent instance is given up at the route's time-out
    Given all instances of deposits are silent
    When a platform caller sends POST /deposits/1 to g1
    Then the platform answer is 504 within 3.3 seconds
    And the request ran exactly once

  Scenario: A refusal tells when to come back
    Given all instances of deposits shed
    When a platform caller sends POST /deposits/1 to g1
    Then the platform answer is 503 and says when to come back

  Scenario: A split route keeps its shares
    When 40 GETs of /mixed/1 are sent to g1
    Then 30 of them went to presses

  Scenario: A newer configuration is in force within its time, an older never
    When the operator moves /presses/ to deposits
    Then GET /presses/1 goes to an instance of deposits
    When the operator writes the configuration before that again
    Then GET /presses/1 goes to an instance of deposits

  Scenario: An invalid configuration changes nothing
    When the operator writes a configuration that is cut short
    Then GET /presses/1 goes to an instance of presses

  Scenario Outline: An instance that leaves gets no more work
    When i-presses-1 <leaves>
    Then g1 gives it no more work

    Examples:
      | leaves                |
      | says that it drains   |
      | is taken off the list |
      | is listed unreadably  |

  Scenario: Late writes of an instance that drains change nothing
    When i-presses-1 says that it drains and an older entry follows
    Then g1 gives it no more work

  Scenario: The daemons go on while the store is away
    Given the platform's store is down
    When 20 GETs of /presses/1 are sent to g1
    Then all of them are answered with 200

  Scenario: A change made after the store lost its history is in force
    When the store forgets its history and the operator moves /presses/
    Then GET /presses/1 goes to an instance of deposits

  Scenario: A daemon that starts without the store answers 503
    Given the platform's store is down
    When g2 is killed and starts again
    Then GET /presses/1 at g2 is answered with 503 and never with 404

  Scenario: Changed settings are read without a signal
    When the settings file of g1 changes
    Then g1 logs that the settings are in force

  Scenario: A request id leads to its decisions in the log
    Given all instances of deposits drop
    When a platform caller sends POST /deposits/1 to g1
    Then the log tells the route, the instance and the outcome of its id

  Scenario: A daemon that the store turned away silently is soon up to date
    Given the platform's store gives no answers for 9 seconds
    When it answers again and the operator moves /presses/ at once
    Then the change is in force within 2 seconds

  Scenario: The tool shows what a daemon believes
    When the operator runs the tool's gateway command for g1
    Then it shows the version, the services and the instances
