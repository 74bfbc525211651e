Feature: Ejection never takes a service below its floor

  Scenario: No more instances are ejected than the floor allows
    Given a service of 6 instances with a floor of 4
    When all daemons report 3 of them as unhealthy
    Then 2 are ejected

  Scenario Outline: Starting and leaving instances do not count as capacity
    Given a service of 6 instances with a floor of 4
    And 2 of its healthy instances are <state>
    When all daemons report 3 of them as unhealthy
    Then 0 are ejected

    Examples:
      | state    |
      | starting |
      | leaving  |

  Scenario: Reports of a single daemon eject no instance
    Given a service of 6 instances with a floor of 4
    When 1 daemon reports 1 of them as unhealthy
    Then 0 are ejected

  Scenario: Reports of one data centre among several eject no instance
    Given a service of 6 instances with a floor of 4
    When 2 daemons of one data centre report 1 of them as unhealthy
    Then 0 are ejected

  Scenario: In a single data centre, reports of two daemons eject an instance
    Given a service of 6 instances with a floor of 4
    And all daemons are in one data centre
    When 1 daemon reports 1 of them as unhealthy
    Then 0 are ejected
    When 2 daemons of one data centre report 1 of them as unhealthy
    Then 1 are ejected

  Scenario: A raised floor restores ejected instances
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And the owners raise the floor to 6
    Then 0 are ejected

  Scenario: The loss of a healthy instance restores an ejected one
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And 1 of its healthy instances leaves the list
    Then 1 are ejected

  Scenario: A daemon's own rotation keeps the floor without the store
    Given a service of 6 instances with a floor of 4
    And a pool whose ledger ejects 2 of them
    When 1 healthy instance signals that it is draining
    Then the pool has 4 in rotation

  Scenario: Of two concurrent changes to a ledger only one is saved
    Given a service of 6 instances with a floor of 4
    When two coordinators each eject 2 different ones from the same ledger
    Then 2 are ejected after both saved by compare-and-swap

  Scenario: An instance returns by a trial, and a second ejection lasts longer
    Given a service of 6 instances with a floor of 4
    When all daemons report 1 of them as unhealthy
    Then it is on trial after 10 s
    And fully restored after another 10 s
    When all daemons report it as unhealthy again
    Then it is still ejected after 15 s
    And on trial after 20 s

  Scenario: Instances on trial do not count towards the floor
    Given a service of 6 instances with a floor of 4
    When all daemons report 2 of them as unhealthy
    And the trials of both begin and another is reported as unhealthy
    Then 0 are ejected

  Scenario: The floor holds in a stateful test of coordinators and owners
    When the ledger machine runs 150 examples of 40 steps
    Then no invariant was violated
