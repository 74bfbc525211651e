Feature: Requests that cannot be served at once cost clients least

  # Load: all instances of the service for submissions say of 55 % of the
  # requests that they were not run, for 8.5 s. Most refused requests had made
  # one attempt and failed at once since the retry budget was spent, with nearly
  # all of their time left.
  Scenario: A rejected request waits for the retry budget
    Given the submissions of one of 3 daemons, 83 a second
    When all instances reject 55 % of the requests from second 12 to 20.5
    Then at least 20 % fewer requests are refused than without waiting
    And as many requests are served in time as without waiting
    And the retries stay within the budget in any window
    And each refusal for the budget names a time at which it has room
    And no request is sent twice to an instance, or more than twice

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
