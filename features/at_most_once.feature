@fixture.estate
Feature: A non-idempotent request runs at most once

  Background:
    Given a key prefix issued by entry-1

  Scenario: A retry through another daemon gets the kept answer
    When a caller posts a booking with a new key to entry-2
    And the caller posts it again to entry-3
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: Two attempts at once through two daemons run once
    Given bookings take 300 ms
    When two callers post one new key to entry-2 and entry-3 at once
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: The connection goes silent and the caller retries elsewhere
    Given bookings take 300 ms
    When a caller posts a new key to entry-2 and closes at once
    And the caller posts it again to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  Scenario: The backend server's answer is lost
    Given the bookings servers run and close without an answer
    When a caller posts a booking with a new key to entry-1
    Then the result is 3001 with status 502
    When the caller posts it again to entry-2
    Then the result is 3001 with status 502
    And the booking ran once

  Scenario: A backend server that never answers leaves the outcome unknown
    Given the bookings servers run and never answer
    When a caller posts a booking with a deadline of 400 ms to entry-1
    Then the result is 3002 with status 504
    And the booking ran once

  Scenario: A late first attempt cannot run behind the caller's back
    Given the bookings servers refuse all work
    When a caller posts a booking with a new key to entry-1
    Then the error text is "not run"
    Given the bookings servers serve again
    When the caller posts it again to entry-2
    Then the error text is "not run"
    And the booking ran 0 times
    When the caller posts attempt 2 of it to entry-3
    Then the result is 1000 with status 200
    And the booking ran once

  Scenario: One key for two bodies is refused
    When a caller posts a booking with a new key to entry-1
    And the caller posts another body with the key to entry-2
    Then the result is 2012 with status 409
    And the booking ran once

  Scenario: A key that the caller made itself is settled by the store
    When a caller posts a booking with its own key to entry-1
    And the caller posts it again to entry-2
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: Two attempts with the caller's own key at once run once
    Given bookings take 300 ms
    When two callers post their own key to entry-1 and entry-3 at once
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: The store is down: issued keys go on, own keys do not run
    Given the store is down
    When a caller posts a booking with a new key to entry-2
    Then the result is 1000 with status 200
    When a caller posts a booking with its own key to entry-2
    Then the result is 3008 with status 503
    And the booking ran 0 times

  Scenario: The store's create answer is lost after the write
    Given the store loses the answer of the next write
    When a caller posts a booking with its own key to entry-2
    Then the result is 1000 with status 200
    When the caller posts it again to entry-3
    Then both results are 1000 with the same body
    And the booking ran once

  Scenario: The home is frozen and resumed
    Given entry-1 is frozen
    When a caller posts a booking with a deadline of 700 ms to entry-2
    Then the result is 3003 with status 503
    Given entry-1 is resumed
    When the caller posts it again to entry-3
    Then the booking ran at most once

  Scenario: The home is killed and replaced at the same address
    When a caller posts a booking with a new key to entry-2
    Given entry-1 is killed and replaced
    When the caller posts it again to entry-3
    Then the result is 3004 with status 503
    And the booking ran once

  Scenario: A forged key runs nothing
    When a caller posts a booking with the key dk1.entry-2.deadbeef.0.forgedforged to entry-1
    Then the result is 3004 with status 503
    And the booking ran 0 times
