Feature: Bytes of a server in trouble reach no other caller and use few resources

  Scenario Outline: A late copy of an earlier response is not taken for an answer
    Given a kept connection to a server of the <interface>
    When the next request is written, and then a copy of the earlier <response> comes <how>
    Then the next request <result>

    Examples:
      | interface | response | how           | result                         |
      | platform  | answer   | with its id   | gets its own answer            |
      | platform  | refusal  | with its id   | gets its own answer            |
      | platform  | refusal  | without an id | fails with an unknown outcome  |
      | platform  | answer   | without an id | fails with an unknown outcome  |
      | fleet     | answer   | with its id   | gets its own answer            |
      | fleet     | refusal  | with its id   | gets its own answer            |
      | fleet     | refusal  | without an id | fails with an unknown outcome  |
      | fleet     | answer   | without an id | fails with an unknown outcome  |

  # Statuses from 600 on were passed on as responses.
  Scenario Outline: A response without a valid status is no answer
    Given a kept connection to a server of the <interface>
    When a request is written, and a response with the status <status> comes
    Then the request gets no answer, and the connection is closed

    Examples:
      | interface | status |
      | platform  | 000    |
      | platform  | 099    |
      | platform  | 101    |
      | platform  | 199    |
      | platform  | 600    |
      | platform  | 999    |
      | platform  | 20     |
      | platform  | 2000   |
      | platform  | -20    |
      | platform  | 2O0    |
      | fleet     | 000    |
      | fleet     | 099    |
      | fleet     | 101    |
      | fleet     | 199    |
      | fleet     | 600    |
      | fleet     | 999    |
      | fleet     | 20     |
      | fleet     | 2000   |
      | fleet     | -20    |
      | fleet     | 2O0    |

  Scenario: A server that names no request gets a new connection for each
    Given a connection to a server that names no request in its answer
    Then the connection is not kept

  Scenario Outline: Bytes without end, that are no answer, end the attempt
    When a server of the <interface> sends <bytes> without end
    Then the attempt fails after at most 1 MB and holds no memory

    Examples:
      | interface | bytes                   |
      | platform  | a status line           |
      | platform  | headers                 |
      | platform  | one header              |
      | platform  | informational responses |
      | platform  | a chunk size            |
      | platform  | a chunk extension       |
      | platform  | trailers                |
      | fleet     | a status line           |
      | fleet     | headers                 |
      | fleet     | one header              |
      | fleet     | informational responses |
      | fleet     | a chunk size            |
      | fleet     | a chunk extension       |
      | fleet     | trailers                |

  # A copy of an earlier response whose body has no end kept the attempt until
  # its deadline, since its bytes were skipped without being counted.
  Scenario Outline: A copy of an earlier response without end ends the attempt
    Given a kept connection to a server of the <interface>
    When the next request is written, and then <copies> without end
    Then the attempt fails after at most 2 MB and holds no memory

    Examples:
      | interface | copies                           |
      | platform  | a copy of the earlier answer     |
      | platform  | copies of the earlier answer     |
      | fleet     | a copy of the earlier answer     |
      | fleet     | copies of the earlier answer     |

  Scenario Outline: Bytes that belong to no answer close the connection
    Given a kept connection to a server of the <interface>
    When the server sends bytes without end <when>
    Then the connection is closed after at most 1 MB and holds no memory

    Examples:
      | interface | when                      |
      | platform  | behind a whole answer     |
      | platform  | while no request is open  |
      | fleet     | behind a whole answer     |
      | fleet     | while no request is open  |

  # Each chunk of a body was kept as an object of its own, and each was passed on
  # in a message of its own.
  Scenario Outline: Small chunks take up little more than their bytes
    When a server of the <interface> sends 400000 bytes in chunks of 2 bytes
    Then the attempt holds at most twice these bytes
    And a body that is passed on in parts comes in at most one part a read

    Examples:
      | interface |
      | platform  |
      | fleet     |

  # The answer to one call could take up most of a small VM's memory.
  Scenario: An answer of the store without end takes up little memory
    Given a daemon on a VM with 200 MB of memory
    When the store, or another daemon, answers a call without end
    Then the call fails, and at most 20 MB of the answer were held

  # A refusal with a long body was not cancelled. Each one kept a connection to
  # the instance, until none was left and the service was never served again.
  Scenario Outline: An attempt whose rest nobody gets frees its connection
    Given a request that an instance is running
    When <event>
    Then its connection is freed <when>

    Examples:
      | event                                              | when            |
      | a refusal begins whose body goes on                | at once         |
      | another instance's refusal begins and goes on      | at once         |
      | an error begins whose body goes on                 | at once         |
      | an unsigned response begins and goes on            | at once         |
      | the caller leaves                                  | at once         |
      | a response streams, and the caller leaves          | at once         |
      | a response streams without end                     | at the deadline |
      | no response comes                                  | at the deadline |
      | the caller of a booking leaves before its response | at once         |

  # Such a status was passed on. It promises that the request has not run, which
  # an instance says in a header; without it the request may have run.
  Scenario Outline: A status that promises too much is not passed on
    When an instance responds to a <kind> with <status> and no word on its run
    Then the caller gets no promise, and the request ran at most <most> times

    Examples:
      | kind    | status | most |
      | booking | 503    | 1    |
      | booking | 429    | 1    |
      | booking | 408    | 1    |
      | read    | 503    | 2    |
      | read    | 429    | 2    |
