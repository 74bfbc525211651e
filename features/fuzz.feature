Feature: The decisions hold against an oracle under any order of failures

  Scenario: Keys run at most once, and not run means not run
    When the fleet machine runs 300 examples of 60 steps
    Then no promise was broken
