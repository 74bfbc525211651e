Feature: The fleet's load on the platform does not grow with the fleet

  Scenario Outline: All daemons together stay within the store's rate limits
    Given <daemons> daemons that call the store as often as they can
    Then after the bursts they make at most <rate> <kind> a second

    Examples:
      | daemons | kind   | rate |
      | 3       | reads  | 1000 |
      | 900     | reads  | 1000 |
      | 48      | writes | 200  |
      | 900     | writes | 200  |

  # A watching daemon confirms its revision twice a second, which is more than
  # its share of the rate in a large fleet.
  Scenario: A daemon of a large fleet confirms its revision by stale reads
    Given one of 900 daemons, which share 1000 reads a second of the store
    When it makes 2 stale reads a second for 10 minutes
    Then none of them is refused
    And at most 1.2 exact reads a second are left to it after the burst

  Scenario: At most the configured number of daemons watch the store
    Given 900 live daemons of which 64 may watch the store
    Then 64 of them watch

  Scenario: A service's daemons fit its instances' connection limits
    Given 900 live daemons in 6 data centres
    Then each service is served by at most 102 of them, in all data centres
    And the number of serving daemons is known without ranking

  Scenario: A membership update reaches all of 900 daemons within 20 rounds
    Given 900 daemons that only exchange heartbeats
    When one of them leaves
    Then all others know within 20 rounds

  Scenario: Two reporters spread a suspicion to all, and one reporter to nobody
    Given 900 daemons that only exchange heartbeats
    When one of them falls silent
    Then all others suspect it within 30 rounds
    And no other daemon is suspected

  Scenario: A restarted daemon that falls silent is suspected by all too
    Given 900 daemons that only exchange heartbeats
    When one of them leaves
    Then all others know within 20 rounds
    When it starts again and falls silent after 20 rounds
    Then all others suspect it within 30 rounds
