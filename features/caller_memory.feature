Feature: Which connections of callers are closed when a limit is exceeded

  Scenario: Callers that take nothing go first, those that are served last
    Given a budget of 100 bytes of which connections hold
      | name    | bytes | stalled | serving |
      | reading | 60    | no      | no      |
      | served  | 30    | yes     | yes     |
      | left    | 20    | yes     | no      |
    Then left is closed for the budget

  Scenario: A running request is not ended while others hold enough
    Given a budget of 100 bytes of which connections hold
      | name    | bytes | stalled | serving |
      | running | 90    | no      | yes     |
      | idle    | 30    | no      | no      |
    Then idle is closed for the budget

  Scenario: A body makes no room at the cost of callers that read
    Given a budget of 100 bytes of which connections hold
      | name    | bytes | stalled | serving |
      | reading | 60    | no      | no      |
      | stalled | 30    | yes     | yes     |
    Then stalled is closed for a body of 30 bytes
    And nothing is closed for a body of 50 bytes

  Scenario: Uploads cost no reader its response
    Given a budget of 100 bytes, with 70 for bodies and 60 for the rest
    When bodies of 70 bytes are held
    Then a further body does not fit, and connections may hold 30 bytes

  Scenario: Descriptors leave room for instances, the store and other daemons
    Then 4100 descriptors are at most 2145 callers, of whom 1930 share an address

  Scenario: Idle connections make room, first those that never brought a request
    Given 32 connections of address a, of which 16 brought a request, and 4 of b
    When 36 connections are the limit
    Then connections of a without a request are closed for one of b

  # Each chunk was kept as an object of its own, which the budget did not count.
  Scenario Outline: A body in small chunks takes up little more than its bytes
    When 400000 bytes of a body come in chunks of <size> bytes
    Then the body is whole, and at most twice its bytes were held

    Examples:
      | size |
      | 2    |
      | 100  |
      | 8000 |
