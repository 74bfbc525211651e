@fixture.lone_gateway
Feature: Clients that nobody controls fill neither the memory nor the descriptors

  # The crowds and the bounds were fixed before the limits were built: the memory
  # is that of the settings, and each crowd is large enough to exceed it on a
  # daemon without limits, as far as its pattern can.

  Background:
    Given g1 may use 100 MB of memory and 260 descriptors

  Scenario Outline: Clients pipeline requests and read no response
    When 12 clients pipeline <each> requests for <target> at the <address> port and read nothing
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

    Examples:
      | address   | target               | each  |
      | caller    | a path without route | 8000  |
      | caller    | HEAD                 | 8000  |
      | caller    | another host         | 8000  |
      | caller    | no request id        | 8000  |
      | readiness | readiness            | 10000 |
      | readiness | an unknown path      | 10000 |
      | directory | addresses            | 10000 |
      | directory | an unknown host      | 10000 |
      | metrics   | metrics              | 5000  |
      | metrics   | status               | 5000  |

  Scenario: Clients without a known key pipeline requests and read no response
    Given uploads need the key of a tenant, and presses need none
    When 12 clients pipeline 8000 requests for uploads without a key at the caller port and read nothing
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

  Scenario: Clients pipeline requests at instances that take their time
    Given instances of presses with work_s 2.0
    When 12 clients pipeline 4000 requests for presses at the caller port and read nothing
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

  Scenario Outline: Clients read long responses <how>
    Given instances of presses with body_bytes <size>
    When <count> clients pipeline <each> requests for presses at the caller port and read <how>
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

    Examples:
      | size    | count | each | how     |
      | 500000  | 24    | 32   | nothing |
      | 500000  | 24    | 32   | slowly  |
      | 3000000 | 48    | 8    | nothing |
      | 3000000 | 48    | 8    | slowly  |

  Scenario Outline: Clients send <what> at the <address> port
    When 48 clients send <what> at the <address> port
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

    Examples:
      | address   | what                |
      | caller    | incomplete heads    |
      | readiness | incomplete heads    |
      | directory | incomplete heads    |
      | metrics   | incomplete heads    |
      | caller    | slow bodies         |
      | metrics   | slow bodies         |
      | caller    | too long bodies     |
      | caller    | too long heads      |
      | caller    | malformed requests  |
      | readiness | malformed requests  |

  Scenario Outline: Connections are only opened at the <address> port
    When 300 clients connect to the <address> port and send nothing
    Then g1 lives within its memory and descriptors
    And g1 serves an ordinary request

    Examples:
      | address   |
      | caller    |
      | readiness |
      | directory |
      | metrics   |

  Scenario Outline: A stop drains clients that pipeline and read nothing
    Given instances of presses with body_bytes 500000
    When 12 clients pipeline <each> requests for <target> at the caller port and g1 is stopped
    Then g1 has ended within its memory

    Examples:
      | target               | each |
      | a path without route | 8000 |
      | presses              | 64   |

  Scenario Outline: A client that pauses and reads again gets all responses in order
    Given instances of presses with body_bytes <size>
    When a client pipelines <count> requests for presses, pauses and reads again
    Then it gets <count> complete responses in order

    Examples:
      | size  | count |
      | 0     | 500   |
      | 90000 | 64    |

  Scenario: Clients with slow links get long responses
    Given instances of presses with body_bytes 540000
    When 8 clients request presses and read 20000 bytes each 0.1 seconds
    Then each of them gets a complete response
