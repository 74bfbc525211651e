Feature: Instances in need get no more requests than they ask for

  # An instance in need names the requests a second that it takes from all
  # daemons together. No daemon read it, so that it got its usual share.
  Scenario: An instance gets no more requests than the limit that it names
    Given a daemon, 6 instances of 3 slots, and 20 requests a second
    When 4 of them name a limit of 1 requests a second after 5 seconds
    Then none of these gets more than 11 requests in any 4 seconds from second 8
    And at least 0.9 of the requests are served

  # The limit holds for all daemons together, whoever was told first, and while
  # daemons die, restart and are replaced as those that callers are sent to.
  Scenario Outline: All daemons together keep the limit of each instance
    Given <serving> serving daemons of <daemons>, and <instances> instances that name limits of 0 to 6 requests a second
    When requests arrive for 60 seconds while daemons are killed and started
    Then no instance gets more than its limit allows in any 4 seconds from second 3
    And each instance gets a request at least every 2 seconds while its holder lives

    Examples:
      | daemons | serving | instances |
      | 9       | 3       | 8         |
      | 48      | 6       | 22        |
      | 293     | 15      | 53        |

  Scenario: A daemon that has just learnt of a limit does not use it up twice
    Given two daemons of an instance's data centre that hold no limit yet
    When both learn of a limit of 3 requests a second
    Then only the better ranked one sends, at most 3 requests a second
    And the other one follows 2 seconds after it was last heard of

  Scenario: A limit ends with the instance's word or run, or without news
    Given a daemon, 6 instances of 3 slots, and 20 requests a second
    When 4 of them name a limit of 1 requests a second from second 5 to 15
    Then no limit is known after 20 seconds

  Scenario: A limit is read from any value
    Then any text as limit is a decimal number from 0, or has no effect
    And of several limits the lowest valid one holds
    And a response of another instance at the address has no effect
    And a late response of an earlier run has no effect on the next one

  # Requests that the limits leave no room for are refused at once. They must
  # not wait until their deadline, and the urgent ones go first.
  Scenario: Requests beyond the sum of the limits are refused early
    Given a daemon, 4 instances of 3 slots that name a limit of 2 each
    When 6 urgent and 10 other requests a second arrive for 30 seconds
    Then at least 0.9 of the urgent requests are served
    And no refused request had waited for more than half of its time
    And none of these gets more than 17 requests in any 4 seconds from second 8

  Scenario: Requests are refused at once while another daemon holds all limits
    Given a daemon, 2 instances of 3 slots that name a limit of 2 each
    When a better ranked daemon reports that it holds the limits
    Then a request is refused within 0.1 seconds, as not run

  # Owners require requests at most of the sound instances of a service while
  # many of its requests are not served, also at those that name a limit.
  Scenario: Limited instances still get the requests that owners require
    Given a daemon, 8 instances of 4 slots, and 40 requests a second
    When 6 of them name a limit of 1 requests a second after 2 seconds
    Then each of these gets a request in any 2 seconds from second 8 to 28
    And none of these gets more than 11 requests in any 4 seconds from second 8

  Scenario: An unhealthy instance gets requests if better ones are withheld
    Given a daemon, 3 instances of 3 slots that name a limit of 2 each
    When another daemon holds two of the limits, and the third instance fails half
    Then requests are sent to the third one within 0.1 seconds

  Scenario: A pause saves up no more requests than an instance accepts
    Given a limit that was held for 60 seconds without a request
    Then at most 1.5 times of it and 5 requests may be sent in the next 4 seconds

  # Each daemon guessed from its own callers how many daemons serve the other
  # data centres, and ignored the reports of a holder that it did not count.
  Scenario Outline: Daemons with callers of unequal load agree on one holder
    Given daemons in <daemons>, and an instance of <place> of 4
    When callers of <heavy> need 3 daemons, and those of <light> need 1
    And the instance names a limit of 6 requests a second after 8 seconds
    Then it gets at most 41 requests in any 4 seconds from second 11
    And it gets at least 2 requests a second from second 12
    And all daemons that serve callers know each other

    Examples:
      | daemons      | place | heavy | light |
      | aabbbbcc     | a     | b     | c     |
      | aabbbbcc     | b     | b     | c     |
      | aabbbbcc     | c     | b     | c     |
      | ccccaabbbbb  | a     | c     | b     |
      | aaaabbbbbbcc | c     | b     | a     |

  # A daemon waited for each better ranked one, also for those that have no
  # callers, so that for many seconds nobody used the limit.
  Scenario: A killed holder is soon replaced by one other daemon in any fleet
    When the holder of a limit is killed in fleets from seeds 12 to 19
    Then one daemon held it before, and one after, within the limit
