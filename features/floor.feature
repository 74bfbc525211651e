Feature: Ejection never takes a service below its floor

  Scenario: No more are ejected than the floor allows
    Given a service of 6 instances with a floor of 4
    When all daemons report 3 of them as unhealthy
    Then 2 are ejected

  Scenario Outline: Instances that do not count as capacity leave less room
    Given a service of 6 instances with a floor of 4
    And 2 of its healthy instances are <state>
    When all daemons report 3 of them as unhealthy
    Then 0 are ejected

    Examples:
      | state    |
      | starting |
      | leaving  |

  Scenario: One daemon's word ejects nobody
    Given a service of 6 instances with a floor of 4
    When 1 daemon reports 1 of them as unhealthy
    Then 0 are ejected

  Scenario: Daemons of one data centre eject nobody where there are more
    Given a service of 6 instances with a floor of 4
    When 2 daemons of one data centre report 1 of them as unhealthy
    Then 0 are ejected

  Scenario: One daemon's word ejects nobody in a single data centre either
    Given a service of 6 instances with a floor of 4
    And all daemons stand in one data centre
    When 1 daemon reports 1 of them as unhealthy
    Then 0 are ejected
    When 2 daemons of one data centre report 1 of them as unhealthy
    Then 1 are ejected

  Scenario: A raised floor brings instances back
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And the owners raise the floor to 6
    Then 0 are ejected

  Scenario: Instances that die while others are ejected bring them back
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And 1 of its healthy instances leaves the list
    Then 1 are ejected

  Scenario: A daemon's own rotation keeps the floor without the store
    Given a service of 6 instances with a floor of 4
    And a pool whose ledger ejects 2 of them
    When 1 healthy instance drains by its own sign
    Then the pool has 4 in rotation

  Scenario: Two stewards race and only one change is saved
    Given a service of 6 instances with a floor of 4
    When two stewards eject 2 different ones each from the same ledger
    Then 2 are ejected after both saved by compare-and-swap

  Scenario: An ejected instance returns by a trial, and flapping waits longer
    Given a service of 6 instances with a floor of 4
    When all daemons report 1 of them as unhealthy
    Then it is on trial after 10 s
    And in full use after another 10 s
    When all daemons report it as unhealthy again
    Then it is still ejected after 15 s
    And on trial after 20 s

  Scenario: Instances on trial do not count as full capacity
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And the trials of both begin and another is reported as unhealthy
    Then 0 are ejected

  Scenario: A stateful machine of daemons, stewards and owners keeps the floor
    When the ledger machine runs 150 examples of 40 steps
    Then no invariant was violated
