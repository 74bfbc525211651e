Feature: A request that has arrived is read before its connection is closed

  # A daemon that was busy for a moment closed connections as idle although a
  # request waited in their sockets, and the caller got neither an answer nor a
  # refusal, whatever its connection was closed for.
  Scenario Outline: A request that arrives while the daemon is busy is answered
    Given a front end on <loop>, and a caller with <connection>
    When the caller's request arrives while the front end is busy, and <event>
    Then the caller gets the answer

    Examples:
      | loop    | connection        | event                         |
      | uvloop  | a kept connection | a stop drains the connections |
      | asyncio | a kept connection | a stop drains the connections |
      | uvloop  | a new connection  | a stop drains the connections |
      | asyncio | a new connection  | a stop drains the connections |
      | uvloop  | a kept connection | the idle time passes          |
      | asyncio | a kept connection | the idle time passes          |
