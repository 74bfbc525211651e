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
