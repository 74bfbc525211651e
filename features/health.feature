Feature: Outlier detection marks unhealthy instances and no healthy ones

  Scenario: A service that fails as a whole has no unhealthy instance
    Given a detector over 6 instances with 300 successful requests each
    When all instances fail half of 200 requests each
    Then no instance is unhealthy

  Scenario: Intermittent overload of a whole service ejects no instance
    When daemons observe 24 minutes of intermittent overload
    Then no instance was ejected

  Scenario: An instance that fails half of its requests is unhealthy
    Given a detector over 6 instances with 300 successful requests each
    When instance i0 fails half of 20 requests
    Then only i0 is unhealthy

  Scenario: An instance that is slower than the others is unhealthy
    Given a detector over 6 instances with 300 successful requests each
    When instance i0 is 5 times slower for 60 requests
    Then only i0 is unhealthy

  Scenario Outline: Suspicion scores of several daemons are combined
    Then scores <scores> of <daemons> daemons have a log p-value under <most>

    Examples:
      | scores    | daemons | most |
      | 22        | 3       | -18  |
      | 12 12     | 3       | -18  |
      | 9 9 9     | 3       | -18  |
      | 4 4 4 4 4 | 100     | 1    |

  Scenario: Low suspicion scores of few among many daemons are not significant
    Then scores 5 5 5 5 of 100 daemons have a log p-value over -12
