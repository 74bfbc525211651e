Feature: The work for one peer's input does not delay the others

  Scenario: A delay of the event loop is logged with the peer that caused it
    When the input of an instance takes up the event loop for 0.3 s
    Then a log line names this instance first, with the time that it took
