Feature: A planned stop cuts off no request

  @fixture.estate
  Scenario: A long answer in flight is finished
    When a caller reads a long answer from entry-2 while it is stopped
    Then the long answer came whole
    And entry-2 has ended with exit code 0

  @fixture.estate
  Scenario: A running request is finished and its record handed off
    Given a key prefix issued by entry-1
    And bookings take 800 ms
    When a caller posts a booking to entry-1 while it is stopped
    Then the result is 1000 with status 200
    And entry-1 has ended with exit code 0
    When the caller posts it again to entry-2
    Then both results are 1000 with the same body
    And the booking ran once
    When a caller posts a booking with a new key to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  @fixture.estate
  Scenario: Address answers stop naming a daemon that stops
    When entry-3 is asked to stop
    Then entry-1 and entry-2 soon name only each other

  @fixture.estate
  Scenario: Rolling replacement of all daemons under load fails no request
    When all daemons are replaced in turn under 60 requests a second
    Then every request was answered
    And no request ran twice
