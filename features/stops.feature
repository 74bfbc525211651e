Feature: A graceful shutdown interrupts no request

  @fixture.fleet
  Scenario: A long response in progress is completed
    When a caller reads a long response from entry-2 while it shuts down
    Then the long response is complete
    And entry-2 has exited with code 0

  @fixture.fleet
  Scenario: A running request is completed and its record is handed off
    Given a key prefix issued by entry-1
    And bookings take 800 ms
    When a caller posts a booking to entry-1 while it shuts down
    Then the result is 1000 with status 200
    And entry-1 has exited with code 0
    When the caller posts it again to entry-2
    Then both results are 1000 with the same body
    And the booking ran once
    When a caller posts a booking with a new key to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  @fixture.fleet
  Scenario: Address responses no longer list a daemon that shuts down
    When entry-3 is sent SIGTERM
    Then entry-1 and entry-2 soon list only these two

  @fixture.fleet
  Scenario: A rolling restart of all daemons under load fails no request
    When all daemons are restarted in turn under 60 requests a second
    Then every request was answered
    And no request ran twice
