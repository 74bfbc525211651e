@fixture.gateway_pair
Feature: Daemons keep the limits of instances together

  # Requests reach an instance through many daemons. Each of them learnt the
  # limit from a response, and none knew what the others send.
  Scenario: Six daemons send an instance no more than the limit that it names
    Given all instances of presses name a limit of 2 requests a second
    When requests are sent to all daemons in turn for 10 seconds
    Then no instance of presses ran more than 17 of them in 4 seconds
    And each instance of presses ran one at least every 2 seconds
    And the requests that were not served were refused within 0.5 seconds
    When the instances name no limit any more
    Then all daemons know within 3 seconds that there is no limit
