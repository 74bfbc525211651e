Feature: Instances in need get no more requests than they ask for

  # An instance in need names the requests a second that it takes from all
  # daemons together. No daemon read it, so that it got its usual share.
  Scenario: An instance gets no more requests than the limit that it names
    Given a daemon, 6 instances of 3 slots, and 20 requests a second
    When 4 of them name a limit of 1 requests a second after 5 seconds
    Then none of these gets more than 11 requests in any 4 seconds from second 8
    And at least 0.9 of the requests are served
