Feature: Idempotency records are bounded and no key runs twice

  Scenario: The key of an evicted record does not run again
    Given a record table with room for 2 records
    When the keys k1 and k2 run in epoch 0 and end
    And the key k3 starts in epoch 3
    Then the key k1 of epoch 0 is rejected with 3005

  Scenario: A full record table without evictable records rejects new keys as unknown
    Given a record table with room for 2 records
    When the keys k1 and k2 run in epoch 0 and end
    Then the key k3 of epoch 0 is rejected with 3007

  Scenario: The record of a running request outlives its epoch
    Given a record table with room for 100 records
    When the key k1 starts in epoch 0
    And 70 epochs pass
    Then another attempt of k1 joins the running one

  Scenario: An attempt that joined a running one shares its outcome of not run
    Given a record table with room for 100 records
    When the key k1 starts in epoch 0
    And attempt 2 of k1 joins and both end with not run
    Then attempt 2 of k1 gets the outcome not run again
    And attempt 3 of k1 may run

  Scenario: A claimed key without a record does not run
    Given a record table with room for 100 records
    Then the claimed key k1 without a record is rejected with 3005

  Scenario: A key of a future epoch is rejected
    Given a record table with room for 100 records
    Then the key k1 of epoch 9 is rejected with 3005

  Scenario: Responses over the byte limit are dropped and their records are kept
    Given a record table that keeps 100 bytes of responses
    When the keys k1 and k2 run in epoch 0 with responses of 80 bytes
    Then another attempt of k1 ends with 3006
    And another attempt of k2 ends with 3006

  Scenario Outline: Any attempt that may have run makes the outcome unknown
    Given attempts of an idempotent request
    When the first attempt ends <first> and the second ends <second>
    Then the outcome is <code>

    Examples:
      | first       | second      | code |
      | BROKEN      | REFUSED     | 3001 |
      | TIMED_OUT   | UNREACHABLE | 3002 |
      | REFUSED     | UNREACHABLE | 2010 |
      | UNREACHABLE | BROKEN      | 3001 |

  Scenario: A request that arrives during the hand-off of records is queued
    Given a simulated fleet with 3 daemons
    And a booking with a key of d0 has ended
    When d0 begins to hand off its records while another booking runs
    And a booking with another key of d0 arrives at d0
    Then it is queued and does not start at d0
    When the running booking ends and d0 hands off its records to d1
    Then the queued booking runs once, at d1
    And d1 still returns the stored response of the first booking
