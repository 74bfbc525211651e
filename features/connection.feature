Feature: A caller's connection ends without the loss of a request

  # The error was written as the response to the oldest outstanding request,
  # which an instance was running, and that request's own response was dropped.
  Scenario: An invalid pipelined request takes no other request's response
    Given a connection on which a GET is outstanding
    When an invalid request follows, and then the GET is answered
    Then the caller reads status 200 and then 400

  # A response was encoded when it was ready, and so announced the end of the
  # connection before its turn; the request sent meanwhile was run and cut.
  Scenario: A stop cuts no request behind a response that was ready early
    Given a connection on which a GET is outstanding
    When the stop begins, a second GET is answered, and a third one arrives
    Then the caller reads status 200, 200 and 200, and the last announces the end

  # A stream's head announced the end, and requests behind it were still taken.
  Scenario: No request is taken behind a stream that announced the end
    Given a connection on which a GET is outstanding
    When the stop begins, the GET streams, and a second one arrives meanwhile
    Then only the first GET is taken

  Scenario: A connection that ends cuts nothing that it has taken
    When the connection machine runs 300 examples of 20 steps
    Then no invariant was violated

  # The connection was closed behind the last response. Bytes that the caller
  # sent before it knew reset it, and the responses were lost on their way.
  Scenario: A response that announces the end is not lost to a reset
    Given a connection on which a GET is outstanding
    When the stop begins, and the GET is answered
    Then the daemon ends its side only, and reads what the caller still sends
    And the drain that follows does not close it either
    And it closes a second later if the caller does not

  Scenario: A drain does not wait for the rest of a request that never comes
    Given a connection on which half a request has arrived
    When the stop begins and drains, and the rest does not come for a second
    Then the caller reads status 408, and the last announces the end

  # What was left of the refused request was parsed as a further request while
  # the caller read the refusal slowly.
  Scenario: Nothing is parsed behind a refused request whose caller reads late
    Given a connection with a request that is refused before its body, and output that waits
    When time-outs are checked and output is taken
    Then the refusal 413 is read, and nothing else is taken
