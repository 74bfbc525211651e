Feature: A caller's connection ends without the loss of a request

  # The error was written as the response to the oldest outstanding request,
  # which an instance was running, and that request's own response was dropped.
  Scenario: An invalid pipelined request takes no other request's response
    Given a connection on which a GET is outstanding
    When an invalid request follows, and then the GET is answered
    Then the caller reads status 200 and then 400
