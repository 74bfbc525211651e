@fixture.estate
Feature: A caller always gets the whole answer to its own request

  Background:
    Given the answers are recorded

  Scenario: A truncated answer is never passed off as whole
    Given the catalogue servers truncate their answers
    When a caller sends GET /catalogue/short to entry-1
    Then the result is 3001 with status 502

  Scenario: Extra bytes after an answer do not reach another caller
    Given the catalogue servers send extra bytes after each answer
    When 60 callers send GET with a mark of their own to entry-1
    Then each got the answer with its own mark or a coded error

  Scenario: An answer without a length or chunks is refused
    Given the catalogue servers end answers by closing
    When a caller sends GET /catalogue/closing to entry-1
    Then the result is 3009 with status 502

  Scenario: A long answer streams whole
    When a caller sends GET /catalogue/long?bytes=3000000 to entry-2
    Then the body has 3000000 bytes

  Scenario: A long answer that breaks off has no end in form
    Given the catalogue servers break long answers off
    When a caller reads GET /catalogue/long?bytes=3000000 from entry-2
    Then the raw answer has no last chunk

  Scenario: Pipelined requests are answered in order
    When a caller pipelines 20 requests with marks to entry-3
    Then the answers come in the order of the marks

  Scenario: Many pipelined bad requests are each answered
    When a caller pipelines 2000 requests with a bad header to entry-3
    Then 2000 coded errors come

  Scenario: Late answers never reach the next caller
    Given the catalogue servers take 300 ms
    When 20 callers with a deadline of 100 ms send marks to entry-1
    And the catalogue servers are quick again
    And 40 callers send GET with a mark of their own to entry-1
    Then each got the answer with its own mark or a coded error

  Scenario: A caller that goes away leaves nothing behind
    Given the catalogue servers take 300 ms
    When 20 callers send a request to entry-1 and close
    Then entry-1 has nothing in flight
    And servers were told to cancel work
    And entry-1 still answers

  Scenario: A connection with bytes that were not read yet is not used again
    Given a connection whose server has answered one request
    When the server sends more bytes and the daemon has not read them
    Then the connection may not be used again

  Scenario: A slow reader gets a long answer whole
    When a caller slowly reads GET /catalogue/long?bytes=6000000 from entry-1
    Then the raw answer has 6000000 bytes of body and a last chunk
