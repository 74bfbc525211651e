Feature: A short soak test of real daemons under injected faults

  Scenario Outline: The invariants hold under the faults of a seed
    When the soak runs with seed <seed> and 3 daemons for 8 seconds
    Then the soak reports no violation

    Examples:
      | seed |
      | 3    |
      | 4    |

  # Daemons missed changes that were written when the store came back.
  Scenario Outline: Changes are in force in time while the store has faults
    When changes are made for 15 seconds with 6 daemons and the faults "<faults>"
    Then each change was in force in time

    Examples:
      | faults |
      | drill  |
      | stale  |

  Scenario: The fault schedule is determined by the seed
    Then two schedules of seed 5 are equal, and that of seed 6 differs

  Scenario: Each check of the soak detects a violation
    Then the soak detects each of the constructed violations

  # Refusals without end used up all connections to an instance, and its daemon
  # served nothing until a restart; no promise to one caller was broken.
  Scenario: The soak detects a daemon that serves nothing after the faults
    Then the soak detects a daemon that serves nothing after the faults
