Feature: Large responses neither hold instances nor fill the memory

  # Load: broadcast downloads to callers on slow links. An instance cuts off a
  # response that stays unread for seconds, and holds a slot until then.
  Scenario: A response is read ahead of a caller that does not read
    Given a caller whose connection takes no bytes
    When its response of 1900 KiB streams
    Then the instance's connection is never paused

  # Reading was paused by the event that the write buffer is full, which comes
  # once: a response that began afterwards was read without limit.
  Scenario: The read-ahead is bounded on a connection that was full before
    Given a caller whose connection takes no bytes
    When its response of 9000 KiB streams
    Then the instance's connection is paused within 2100 KiB
    And it is resumed when the caller reads

  # Chunks of such a response wait in the connection for the one before, which
  # has no full write buffer.
  Scenario: The read-ahead is bounded behind a request without a response
    Given a caller that pipelined a request behind a slow one
    When its response of 9000 KiB streams
    Then the instance's connection is paused within 2100 KiB
    And it is resumed when the slow one is answered

  Scenario: Many slow callers share the memory for read-ahead
    Given 200 callers whose connections take no bytes
    When their responses of 9000 KiB stream
    Then less than 46 MiB are read ahead for all of them together

  Scenario: A download is fetched again until its first byte is on its way
    Given simulated instances, and a route for downloads
    When the first two attempts of a download are cut off
    Then it was sent to 2 instances, each to be held whole up to 1 MiB
