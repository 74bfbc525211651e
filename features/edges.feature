Feature: What comes from one connection ends at most that connection

  # A ping with a number of more than 64 bits could not be answered, and the
  # error ended the socket through which daemons hear each other.
  Scenario Outline: No input at an edge ends a task
    When 200 inputs of <edge> are played
    Then each ended in a response, a coded error or a closed connection

    Examples:
      | edge          |
      | callers       |
      | instances     |
      | the store     |
      | other daemons |

  Scenario: A datagram with numbers that cannot be answered is dropped
    Then a ping with the number 18446744073709551616 is dropped
    And a limit of nan requests a second is dropped
