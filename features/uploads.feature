@fixture.gateway
Feature: Uploads run at most once, and their bodies take up little memory

  Background:
    Given uploads of up to 4 MiB go to deposits

  Scenario: An upload is not sent again after it may have run
    Given all instances of deposits have the fault drop
    When a caller uploads 200000 bytes
    Then the upload gets the status 502
    And it ran exactly once with all its bytes

  Scenario: An upload that is announced as too large is refused before its body
    When a caller announces an upload of 90000000 bytes and waits
    Then the upload gets the status 413 within 1 second
    And it never ran

  Scenario: A caller that sends a too large upload anyway reads the refusal
    When a caller uploads 12000000 bytes
    Then the upload gets the status 413
    And it never ran

  Scenario: A caller that expects 100-continue is told to go on
    When a caller announces an upload of 200000 bytes, expecting 100-continue
    Then it is told to continue, and the upload gets the status 200

  Scenario: A caller that expects 100-continue is told of a too large upload
    When a caller announces an upload of 90000000 bytes, expecting 100-continue
    Then it is not told to continue, and the upload gets the status 413

  Scenario: An upload that trickles in is ended and never runs
    When a caller uploads a byte each 0.3 seconds
    Then the upload gets the status 408 within 6 seconds
    And it never ran

  Scenario: An upload that stalls is ended at its caller's deadline
    When a caller with a deadline of 1 second stops in the middle of an upload
    Then the upload gets the status 408 within 2 seconds
    And it never ran

  Scenario: An upload that breaks off never runs
    When a caller closes its connection in the middle of an upload
    Then it never ran
    And g1 holds no bytes of uploads

  Scenario: Uploads beyond the memory are refused, and served once there is room
    Given g1 may use 60 MB of memory and the instances take 1 second
    When 12 callers upload 4000000 bytes each at once
    Then some get the status 200 and the others 503 with a retry-after header
    And g1 holds no bytes of uploads

  Scenario: A daemon holds the body of each upload once
    Given the instances take 1 second
    When 8 callers upload 4000000 bytes each at once
    Then all of them are answered with the status 200
    And the peak memory of g1 grew by less than 64 MB

  Scenario: A connection whose server answers before the body is not reused
    When a server answers an upload of 8000000 bytes after its head
    Then the answer is delivered, and the connection is closed
