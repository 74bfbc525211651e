Feature: Sick servers lose their work quickly and healthy ones keep it

  Scenario: A service that is slow as a whole has no sick instance
    Given a detector over 6 instances with 300 healthy outcomes each
    When all instances fail half of 200 outcomes each
    Then no instance is sick

  Scenario: Overload of a whole service that comes and goes ejects nobody
    When daemons watch 24 minutes in which the overload comes and goes
    Then nobody was ejected

  Scenario: One instance that fails half its work is sick
    Given a detector over 6 instances with 300 healthy outcomes each
    When instance i0 fails half of 20 outcomes
    Then only i0 is sick

  Scenario: A straggler is sick
    Given a detector over 6 instances with 300 healthy outcomes each
    When instance i0 is 5 times slower for 60 outcomes
    Then only i0 is sick

  Scenario Outline: Evidence of several daemons counts together
    Then scores of <scores> out of <daemons> daemons have a log chance under <most>

    Examples:
      | scores    | daemons | most |
      | 22        | 3       | -18  |
      | 12 12     | 3       | -18  |
      | 9 9 9     | 3       | -18  |
      | 4 4 4 4 4 | 100     | 1    |

  Scenario: Weak suspicions of a few among many daemons are no proof
    Then scores of 5 5 5 5 out of 100 daemons have a log chance over -12
