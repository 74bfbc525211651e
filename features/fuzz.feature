Feature: Requests run at most once under random sequences of failures

  Scenario: Keys run at most once and attempts reported as not run never run
    When the fleet state machine runs 300 examples of 60 steps
    Then no invariant was violated
