@fixture.estate
Feature: A request goes from a caller through a daemon to a backend server

  Scenario: A read is answered by an instance of the service
    When a caller sends GET /catalogue/presses to entry-1
    Then the result is 1000 with status 200
    And the answer was made for /catalogue/presses

  Scenario: The longest prefix wins over a shorter one
    When a caller sends GET /bookings/availability/today to entry-2
    Then the result is 1000 with status 200

  Scenario: HEAD is routed wherever GET is
    When a caller sends HEAD /bookings/availability/today to entry-1
    Then the result is 1000 with status 200

  Scenario Outline: Requests that cannot be routed get a coded error
    When a caller sends <method> <path> to entry-1
    Then the result is <code> with status <status>
    And the error text is "<class>"

    Examples:
      | method | path                   | code | status | class   |
      | GET    | /nowhere               | 2004 | 404    | not run |
      | DELETE | /bookings/7            | 2005 | 405    | not run |
      | GET    | /-/nothing             | 2004 | 404    | not run |
      | GET    | /-/addresses?service=x | 2004 | 404    | not run |

  Scenario Outline: Malformed input gets a coded error and the daemon stays up
    When a caller sends the raw bytes of a <kind>
    Then the raw answer has status <status> and result <code>
    And entry-1 still answers

    Examples:
      | kind                | status | code |
      | request line        | 400    | 2001 |
      | header line         | 400    | 2001 |
      | head over the limit | 431    | 2002 |
      | body over the limit | 413    | 2003 |
      | bad timeout         | 400    | 2015 |
      | doubled key         | 400    | 2015 |
      | malformed key       | 400    | 2013 |
      | chunk               | 400    | 2001 |

  Scenario: An address answer names live daemons, the nearest data centre first
    When a caller asks entry-2 for the addresses of bookings
    Then 3 addresses are named and the first stands in data centre b
    And a key prefix of the first daemon is issued

  Scenario: The metrics have histograms for each class and workspace
    When a caller of workspace orchard sends GET /catalogue/x to entry-1
    Then the metrics of entry-1 have a histogram with class normal
    And the metrics of entry-1 have a histogram with workspace orchard
