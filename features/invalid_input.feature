Feature: Invalid responses of the store, and instances that move, lose nothing

  # A read may be repeated. After a write, the store may have made the change,
  # though its response cannot be read.
  Scenario Outline: A response of the store without its fields is a coded error
    Given a client of the <store> store
    When the store responds to each call with <body>
    Then reads fail as store errors, and writes have an unknown outcome

    Examples:
      | store      | body                        |
      | fleet's    | an empty object             |
      | fleet's    | a text for each number      |
      | fleet's    | bytes that are not JSON     |
      | platform's | an empty object             |
      | platform's | a text for each number      |
      | platform's | bytes that are not JSON     |

  # Python's isdigit() accepts digits that int() does not.
  Scenario: A digit that is not ASCII is refused in a timeout and in a port
    Then "²" is refused as a timeout, as a port of an entry and of a setting

  # Another writer left an odd entry among those of the instances. The error of
  # one that could not be decoded ended each daemon that read the list.
  Scenario: An odd entry of another writer ends no daemon, and the others hold
    Given a registrar with 3 listed instances
    When the store has odd entries, one in each change
    Then no change fails, and the 3 instances stay listed

  # The number ended the daemon that decoded the response.
  Scenario: Any load that an instance reports is a load, or has no effect
    Then a load of 5000 digits is none, like any other text but three numbers

  # One waiting request fails with its connection; the others need a new one.
  Scenario: After a failed connect, the other waiting requests get connections
    Given a pool that may open 1 connection to an instance
    When 3 requests wait and the connect fails
    Then 1 request fails, and a connection is opened for the next one

  # An address of an instance that has moved may belong to another service.
  Scenario Outline: An instance that moves gets no request at its old address
    Given a pool that may open 4 connections to an instance
    When the instance moves while a connection to its old address <state>
    Then all further requests are written to the new address

    Examples:
      | state           |
      | is being opened |
      | has a request   |
      | is idle         |
