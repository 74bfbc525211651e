@fixture.fleet
Feature: A non-idempotent request runs at most once

  Background:
    Given a key prefix issued by entry-1

  Scenario: A retry through another daemon gets the stored response
    When a caller posts a booking with a new key to entry-2
    And the caller posts it again to entry-3
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: Concurrent attempts through two daemons run once
    Given bookings take 300 ms
    When two callers post one new key to entry-2 and entry-3 at once
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: A retry through another daemon after a disconnect runs once
    Given bookings take 300 ms
    When a caller disconnects from entry-2 while its booking with a new key runs
    And the caller posts it again to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  Scenario: A retry after a lost response gets the same error and does not run
    Given the bookings servers run requests and close without a response
    When a caller posts a booking with a new key to entry-1
    Then the result is 3001 with status 502
    When the caller posts it again to entry-2
    Then the result is 3001 with status 502
    And the booking ran once

  Scenario: A deadline without a response leaves the outcome unknown
    Given the bookings servers run requests and never respond
    When a caller posts a booking with a deadline of 400 ms to entry-1
    Then the result is 3002 with status 504
    And the booking ran once

  Scenario: An attempt reported as not run does not run when it is sent again
    Given the bookings servers refuse all requests
    When a caller posts a booking with a new key to entry-1
    Then the error class is "not run"
    Given the bookings servers accept requests again
    When the caller posts it again to entry-2
    Then the error class is "not run"
    And the booking ran 0 times
    When the caller posts attempt 2 of it to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  Scenario: Reusing an idempotency key for another body is rejected
    When a caller posts a booking with a new key to entry-1
    And the caller posts another body with the same key to entry-2
    Then the result is 2012 with status 409
    And the booking ran once

  Scenario: A caller-generated key is claimed in the store and runs once
    When a caller posts a booking with a caller-generated key to entry-1
    And the caller posts it again to entry-2
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: Concurrent attempts with a caller-generated key run once
    Given bookings take 300 ms
    When two callers post one caller-generated key to entry-1 and entry-3 at once
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: While the store is down only issued keys run
    Given the store is down
    When a caller posts a booking with a new key to entry-2
    Then the result is 1000 with status 200
    When a caller posts a booking with a caller-generated key to entry-2
    Then the result is 3008 with status 503
    And the booking ran 0 times

  Scenario: A booking runs once although the response to its key claim is lost
    Given the store loses the response to the next write
    When a caller posts a booking with a caller-generated key to entry-2
    Then the result is 1000 with status 200
    When the caller posts it again to entry-3
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: A key whose home is frozen and resumed runs at most once
    Given entry-1 is frozen
    When a caller posts a booking with a deadline of 700 ms to entry-2
    Then the result is 3003 with status 503
    Given entry-1 is resumed
    When the caller posts it again to entry-3
    Then the booking ran at most once

  Scenario: A key whose home was killed and replaced does not run again
    When a caller posts a booking with a new key to entry-2
    Given entry-1 is killed and replaced
    When the caller posts it again to entry-3
    Then the result is 3004 with status 503
    And the booking ran once

  Scenario: A request with a forged key does not run
    When a caller posts a booking with the key dk1.entry-2.deadbeef.0.forgedforged to entry-1
    Then the result is 3004 with status 503
    And the booking ran 0 times
