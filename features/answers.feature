@fixture.fleet
Feature: Each caller receives the complete response to its own request

  Background:
    Given the catalogue servers respond normally

  Scenario: A truncated response is reported as an error
    Given the catalogue servers truncate their responses
    When a caller sends GET /catalogue/short to entry-1
    Then the result is 3001 with status 502

  Scenario: Extra bytes after a response do not reach another caller
    Given the catalogue servers send extra bytes after each response
    When 60 callers each send a GET with a unique marker to entry-1
    Then each receives the response with its own marker or an error with a code

  Scenario: Extra bytes that come late do not reach another caller
    Given the catalogue servers send extra bytes 2 ms after each response
    When 60 callers each send a GET with a unique marker to entry-1
    Then each receives the response with its own marker or an error with a code

  Scenario: A response without a length or chunks is rejected
    Given the catalogue servers end responses by closing the connection
    When a caller sends GET /catalogue/closing to entry-1
    Then the result is 3009 with status 502

  Scenario: A long response is streamed completely
    When a caller sends GET /catalogue/long?bytes=3000000 to entry-2
    Then the body has 3000000 bytes

  Scenario: A long response that breaks off ends without a last chunk
    Given the catalogue servers break off long responses
    When a caller reads GET /catalogue/long?bytes=3000000 from entry-2
    Then the raw response has no last chunk

  Scenario: Responses to pipelined requests keep the order of the requests
    When a caller pipelines 20 requests with markers to entry-3
    Then the responses come in the order of the markers

  Scenario: Each of many invalid pipelined requests gets an error response
    When a caller pipelines 2000 requests with a bad header to entry-3
    Then 2000 error responses with a code are received

  Scenario: Late responses never reach the next caller
    Given the catalogue servers take 300 ms per request
    When 20 callers with a deadline of 100 ms send unique markers to entry-1
    And the catalogue servers respond normally again
    And 40 callers each send a GET with a unique marker to entry-1
    Then each receives the response with its own marker or an error with a code

  Scenario: Requests of disconnected callers are cancelled
    Given the catalogue servers take 300 ms per request
    When 20 callers send a request to entry-1 and close
    Then entry-1 has no requests in flight
    And the servers have cancelled requests
    And entry-1 still serves requests

  Scenario: A connection with unread bytes is not reused
    Given a connection on which the server has answered one request
    When the server sends more bytes that the daemon has not read yet
    Then the connection is not reusable

  Scenario: A slow reader receives a long response completely
    When a caller slowly reads GET /catalogue/long?bytes=6000000 from entry-1
    Then the raw response has 6000000 bytes of body and a last chunk
