Feature: Requests that are open for long show that their instance hangs

  # Load: for 10 s, instances keep three of four requests to their deadline. A
  # request counted as late after four times the typical duration. In 24 runs,
  # the last booking went into an episode after 4.1, 4.5 and 4.1 s in the
  # median, 10, 11 and 8 bookings did, and 94, 94 and 92 % of the reads met
  # their target.
  Scenario Outline: An episode of hanging instances costs little
    When 4 of 12 instances hang for 10 s, with durations of spread <spread>
    Then on average at most <bookings> bookings are sent to them
    And the last one in most runs at most <last> seconds after the start
    And at least <reads> % of the reads meet their target

    Examples:
      | spread | bookings | last | reads |
      | 0.3    | 7        | 2.5  | 98    |
      | 0.5    | 7        | 2.5  | 96    |
      | 0.8    | 7        | 2.5  | 93.5  |

  # Before, 3.9 % of the time of instances was spent as slow at a spread of 0.8.
  Scenario: Healthy instances with a tail of long requests are hardly avoided
    When no instance hangs, and 1 in 100 requests takes 5 times as long
    Then instances are avoided for at most 7 % of the time
    And at most 10 % of the reads are sent twice

  Scenario: Hedges stay within the retry budget when all instances hang
    Given 6 simulated instances of 3 slots, and idempotent requests
    When all hang on 75 % from second 2 to 20 at 15 requests a second
    Then no window of 10 seconds has more retries than a fifth and the slack

  # A hedge that cannot end before the stop does is not sent. Trying it again
  # must not cost the retries of other requests.
  Scenario: Hedges that a stop prevents cost no retry
    Given 6 simulated instances of 3 slots, and idempotent requests
    When all hang, and a stop begins that ends before another attempt would
    Then no retry is counted

  Scenario: Evidence is shared while a request is open, and taken back
    Given a simulated instance that has served 100 bookings in 250 ms each
    When two bookings at it are open for 1.5 seconds
    Then it counts as unhealthy, and other daemons are told
    When both are served after all
    Then it counts as healthy, and other daemons are told

  # Hedged requests are cancelled when the hedge is served first. If their
  # durations were left out, each hedge would make the next ones earlier.
  Scenario: The durations of cancelled requests are not left out
    Given durations of spread 0.6, of which the longest tenth is cancelled
    Then a tenth is expected to be longer than the time of the cancellation
