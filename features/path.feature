@fixture.fleet
Feature: A request goes from a caller through a daemon to a backend server

  Scenario: A read is served by an instance of the service
    When a caller sends GET /catalogue/presses to entry-1
    Then the result is 1000 with status 200
    And the response names the path /catalogue/presses

  Scenario: The route with the longest matching prefix is used
    When a caller sends GET /bookings/availability/today to entry-2
    Then the result is 1000 with status 200

  Scenario: HEAD requests use the routes of GET
    When a caller sends HEAD /bookings/availability/today to entry-1
    Then the result is 1000 with status 200

  Scenario Outline: Requests that cannot be routed get an error with a code
    When a caller sends <method> <path> to entry-1
    Then the result is <code> with status <status>
    And the error class is "<class>"

    Examples:
      | method | path                   | code | status | class   |
      | GET    | /nowhere               | 2004 | 404    | not run |
      | DELETE | /bookings/7            | 2005 | 405    | not run |
      | GET    | /-/nothing             | 2004 | 404    | not run |
      | GET    | /-/addresses?service=x | 2004 | 404    | not run |

  Scenario Outline: Invalid requests get an error code and the daemon keeps running
    When a caller sends an invalid request with a <kind>
    Then the raw response has status <status> and result <code>
    And entry-1 still serves requests

    Examples:
      | kind                   | status | code |
      | malformed request line | 400    | 2001 |
      | malformed header line  | 400    | 2001 |
      | head over the limit    | 431    | 2002 |
      | body over the limit    | 413    | 2003 |
      | malformed timeout      | 400    | 2015 |
      | duplicate key          | 400    | 2015 |
      | malformed key          | 400    | 2013 |
      | malformed chunk        | 400    | 2001 |

  Scenario: An address response lists live daemons, nearest data centre first
    When a caller asks entry-2 for the addresses of bookings
    Then 3 addresses are listed and the first is in data centre b
    And the key prefix is issued by the first daemon

  Scenario: The metrics have histograms for each class and workspace
    When a caller of workspace orchard sends GET /catalogue/x to entry-1
    Then the metrics of entry-1 have a histogram with class normal
    And the metrics of entry-1 have a histogram with workspace orchard
