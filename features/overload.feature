Feature: Requests that cannot be served at once cost clients least

  # Load: all instances of the service for submissions say of 55 % of the
  # requests that they were not run, for 8.5 s. Most refused requests had made
  # one attempt and failed at once since the retry budget was spent, with nearly
  # all of their time left.
  Scenario: A rejected request waits for the retry budget
    Given the submissions of one of 3 daemons, 83 a second
    When all instances reject 55 % of the requests from second 12 to 20.5
    Then at least 20 % fewer requests are refused than by the rule before
    And as many requests are served in time as by the rule before
    And the retries stay within the budget in any window
    And each refusal for the budget names a time at which it has room
    And no request is sent twice to an instance, or more than twice

  # Load: the same, for twice as long, so that the budget is short of the
  # requests for much longer than they can wait.
  Scenario: More requests get one of few retries where that serves them
    Given the submissions of one of 3 daemons, 83 a second
    When all instances reject 55 % of the requests from second 12 to 32
    Then at least 10 % fewer requests are refused than by the rule before
    And as many requests are served in time as by the rule before

  # Load: all instances reject all requests for a shorter time than requests can
  # wait. Both attempts were used up within milliseconds.
  Scenario: The last attempt is kept until it has a chance
    Given the submissions of one of 3 daemons, 83 a second
    When all instances reject 100 % of the requests from second 12 to 15
    Then at least 30 % fewer requests are refused than by the rule before
    And as many requests are served in time as by the rule before

  # Load: a request was rejected and has one attempt left, for each share of
  # rejections and each time left. The best start is found with knowledge of
  # the chance, of how rejections end and of the distribution of the work.
  Scenario: The last attempt is worth nearly as much as at the best start
    Then no decision loses more than 0.03 against the best start of any

  # Load: a third of the instances reject three of four requests.
  Scenario: Instances that reject are no failures, but the others are preferred
    Given the submissions of one of 3 daemons, 83 a second
    When a third of the instances reject 75 % from second 2 to 12
    Then none of them counts as failing
    And they get less than a quarter of their share of the attempts
    And other daemons are told of the rejections
    And at least 99.8 % of the requests are served

  Scenario: A daemon learns of rejections from another, and an older one does not
    Given the submissions of one of 3 daemons, 83 a second
    When another daemon reports that one instance rejects requests
    Then that instance gets no request while others are free
    And a build that does not know the symptom drops the report

  # Load: the same as the first, on the largest service that is planned.
  Scenario: A decision stays cheap with 500 waiting requests
    Given 500 requests that wait for the budget or for a better chance
    Then weighing another one takes at most 60 microseconds
    And one that ends meanwhile is not kept in memory
    And choosing one of 1000 instances after a rejection takes at most 60

  # Load: the same, and some requests matter more than others.
  Scenario: The retry budget goes to the requests that lose most
    Given requests that wait for the budget, listed as
      | name    | priority | target in s | deadline in s | work in s |
      | low     | 2        | 1.0         | 4.0           | 0.3       |
      | late    | 1        | 0.2         | 3.0           | 0.3       |
      | relaxed | 1        | 1.5         | 4.0           | 0.3       |
      | urgent  | 1        | 1.0         | 4.0           | 0.3       |
      | high    | 0        | 2.0         | 8.0           | 0.3       |
    Then they get the budget in the order high, urgent, relaxed, late, low

  Scenario: A caller that disconnects leaves no request behind
    Given the submissions of one of 3 daemons, 83 a second
    When requests wait for the budget, and their callers disconnect
    Then nothing waits, and no further attempt is made

  Scenario: A stop refuses the requests that wait for the budget
    Given the submissions of one of 3 daemons, 83 a second
    When requests wait for the budget, and the time of a stop is nearly over
    Then all of them are refused at once, as not run

  # Load: two kinds of requests of one priority, of which one takes 2.5 times as
  # long, arrive at 1.4 times the capacity for 6 s.
  Scenario: What costs least is delayed or refused first
    Given short and long requests to one service
    When they arrive at 1.4 times the capacity for 6 seconds
    Then at least half as many are refused as by the order before, at most
    And they are worth at least 4 % more to their clients

  # Load: up to 7 requests wait for one slot. The best order is found by trying
  # all of them with knowledge of the work.
  Scenario: The order is nearly the best of all
    Given 300 small queues with requests of different work and times
    Then the order is worth at least 95 % of the best order on average
    And it is worth more than the nearest target, and the shortest work, first

  # Load: urgent and short requests keep arriving faster than they are served.
  Scenario: No priority, route or tenant starves
    Given a queue that always has requests in time of high priority
    And late requests of low priority and of 3 tenants
    Then each of them starts at least once in 100 starts

  # Load: 1000 requests wait, and it is checked whether they meet their times.
  Scenario: The time for checks does not grow with the queue
    Given a queue of 1000 requests of different work and times
    Then the checks take at most 2.8 % of a core

  # Load: one of three daemons has half of the callers. By an equal share of the
  # slots, requests with 4.6 s left counted as infeasible, and were sent to
  # instances that failed half of them.
  Scenario: A daemon with many callers counts the slots that it keeps busy
    Given a queue of 45 requests of 0.38 s whose daemon keeps 22 slots busy
    Then 10 or more count as infeasible with an equal share of 10 slots
    And none of them does with the slots that the daemon keeps busy
