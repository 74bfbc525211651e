@fixture.fleet
Feature: Clients that nobody controls do not fill a daemon of the own fleet

  # See uncontrolled_clients.feature; the daemons have 100 MB and 260 descriptors.

  Scenario Outline: Clients pipeline requests and read no response
    When 12 fleet clients pipeline <each> requests for <target> at the <address> port and read nothing
    Then entry-1 lives within its memory and descriptors
    And entry-1 serves an ordinary request

    Examples:
      | address | target               | each  |
      | caller  | a path without route | 10000 |
      | caller  | addresses            | 10000 |
      | peer    | an unknown path      | 10000 |
      | control | status               | 5000  |

  Scenario Outline: Connections are only opened at the <address> port
    When 300 fleet clients connect to the <address> port and send nothing
    Then entry-1 lives within its memory and descriptors
    And entry-1 serves an ordinary request

    Examples:
      | address |
      | caller  |
      | peer    |
      | control |
