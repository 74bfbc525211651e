Feature: The work for one peer's input does not delay the others

  Scenario: A delay of the event loop is logged with the peer that caused it
    When the input of an instance takes up the event loop for 0.3 s
    Then a log line names this instance first, with the time that it took

  # A daemon parsed all that it had read before it did anything else. Chunks of
  # one byte took 0.3 s for each read, and nobody else got an answer.
  @fixture.lone_gateway
  Scenario Outline: An answer in small chunks without end delays no other answer
    Given i-presses-2 answers without end in chunks of <size> bytes
    When presses are requested 20 times and deposits 8 times a second for 6 s
    Then each deposit is served within its time-out of 3 s

    Examples:
      | size |
      | 1    |
      | 4    |

  @fixture.lone_gateway
  Scenario: Small chunks without end of all instances of a service, beside uploads
    Given 3 callers upload bodies of 1000000 bytes in chunks of 1 bytes
    And all instances of presses answer without end in chunks of 1 bytes
    When presses are requested 20 times and deposits 8 times a second for 6 s
    Then each deposit is served within its time-out of 3 s

  # The input of a caller was parsed until nothing that had been read was left.
  @fixture.lone_gateway
  Scenario Outline: Uploads in small chunks delay no other answer
    Given 3 callers upload bodies of 1000000 bytes in chunks of <size> bytes
    When deposits are requested 8 times a second for 6 s
    Then each deposit is served within its time-out of 3 s

    Examples:
      | size |
      | 1    |
      | 4    |

  # A request costs many times as much as a chunk.
  @fixture.lone_gateway
  Scenario: Pipelined requests without a pause delay no other answer
    Given 24 callers pipeline 20000 requests for a path without a route
    When deposits are requested 8 times a second for 6 s
    Then each deposit is served within its time-out of 3 s

  # The store, the VM list and other daemons are called in this way.
  @fixture.lone_gateway
  Scenario: An answer to a call in small chunks without end delays no other call
    Given i-presses-2 answers without end in chunks of 1 bytes
    When 8 calls of i-presses-2 are open
    Then 20 calls of i-deposits-1 are answered within 0.5 s each

  Scenario Outline: A short message does not wait for those without end
    Given <peers> peers that send without end, for 5 s so far
    When another peer sends a message of <parts> parts
    Then it is done after at most 512 parts of others

    Examples:
      | peers | parts |
      | 1     | 5000  |
      | 17    | 3000  |
      | 300   | 200   |

  Scenario: Peers that send without end share the time that they get
    Given 4 peers that send without end, for 5 s so far
    Then each of them had between 20 and 30 percent of the work

  Scenario: Peers that send without end leave time for the rest of the process
    Given 300 peers that send without end, for 5 s so far
    Then they took up at most 27 percent of the time

  # A peer that waits keeps its place, while the work of the others adds up.
  Scenario: A peer with much work is served although others always have input
    Given 17 peers that send without end, for 5 s so far
    When new peers use up every turn
    Then each of the earlier peers gets a turn within 30 s

  Scenario: The work of peers that are gone is forgotten
    When 5000 peers send a message each, 10 a second
    Then at most 1024 of them are remembered

  Scenario: Little is processed before other callbacks run
    When 100 peers send 1000 parts each at the same moment
    Then no turn of the event loop processes more than 1400 parts

  Scenario: A stream with a small chunk now and then is passed on at once
    Given 20 connections of one peer whose input never ends
    When another peer sends a chunk each 0.1 s for 2 s
    Then each chunk is processed when it arrives

  Scenario Outline: An answer that waits for its turn outlives its connection
    Given a server whose answer of 200 chunks waits for its turn
    When the connection <end>
    Then the request gets its whole answer once its turn comes

    Examples:
      | end              |
      | is reset         |
      | ends             |

  Scenario: A connection is not read from while its input waits
    Given a server whose answer of 200 chunks waits for its turn
    Then the connection is read from only after all turns

  Scenario: An attempt that is cancelled leaves nothing behind
    Given a server whose answer of 200 chunks waits for its turn
    When the attempt is cancelled
    Then nothing of the answer is counted or passed on

  # A planned stop closed such connections as idle, or without an answer to what
  # it had not parsed.
  Scenario: Requests that wait for their turn are taken when a drain begins
    Given a caller whose 20 pipelined requests wait for their turn
    When the drain of its connection begins
    Then all 20 requests are answered, and the last answer ends the connection

  # Each piece gave the parser further bytes, of which it kept all.
  Scenario: A parser gets no further bytes while it has some left
    When 2000 pipelined requests are parsed in pieces of 64 parts
    Then all are taken, and the parser never held more than 4096 bytes

  Scenario: An upload is not too slow while it waits for its turn
    Given a caller whose upload of 200 chunks waits for its turn
    When the time-outs are checked after 60 s
    Then the upload is complete once its turn comes

  Scenario: An upload that waits for its turn ends at its deadline
    Given a caller whose upload of 200 chunks and 5 s waits for its turn
    When the time-outs are checked after 60 s
    Then the upload is refused as too slow
