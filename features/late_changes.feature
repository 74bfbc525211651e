Feature: Daemons in touch with the store know its changes in time

  # A short disruption swallowed the answer to a watch of up to 4 s of a daemon
  # without followers, which learned of no change until the call timed out.
  Scenario: A lost answer to a watch does not hide changes
    Given a daemon that watches the store for itself while it changes
    When answers to it are lost for 0.05 seconds, at each of 40 moments
    Then it knew each change within 2 seconds once it was in touch

  # Reports of other daemons were not read while a call was pending.
  Scenario: A report of a newer revision is read while a call is pending
    Given a daemon that watches the store for itself while it changes
    When answers are lost for 1 second and another daemon reports the change
    Then it knew the change within 0.5 seconds of the report

  Scenario: All daemons in touch know all changes in time
    Given fleets with data centres of 1 to 16 daemons and 0.2 s old stale reads
    When paths to the store and between daemons fail at random, from 60 seeds
    Then each daemon in touch knew each change within 2 seconds

  # Stale reads may be seconds old at any time.
  Scenario: All daemons in touch know all changes in time despite old reads
    Given fleets with data centres of 1 to 16 daemons and 3 s old stale reads
    When paths to the store and between daemons fail at random, from 60 seeds
    Then each daemon in touch knew each change within 2 seconds

  # A daemon relied on the proofs of a peer that was cut off together with it,
  # and waited for a lost answer for 4 s.
  Scenario: A watch is checked when the proofs of a peer end
    Given fleets with data centres of 1 to 16 daemons and 0.2 s old stale reads
    When paths to the store and between daemons fail at random, from seed 98
    Then each daemon in touch knew each change within 2 seconds

  # Each daemon read each version of the document from the store, and took a
  # response that was still arriving for lost.
  Scenario: Daemons with slow links know a large configuration in time
    Given a fleet of 103 daemons with links of 5 to 100 Mbit/s
    When a configuration of 364 kB changes once
    Then each daemon in touch knew each change within 2.5 seconds
    And no daemon took the store for unavailable

  # Whoever was behind had to read more, and more daemons were behind each time.
  Scenario: Daemons with slow links keep up with changes of a large configuration
    Given a fleet of 103 daemons with links of 5 to 100 Mbit/s
    When a configuration of 364 kB changes each 0.33 seconds for 4 seconds
    Then each daemon in touch knew each change within 2.5 seconds

  # The leaving of an instance came behind the documents, in one response.
  Scenario: An instance that leaves beside large changes is known in time
    Given a fleet of 103 daemons with links of 5 to 100 Mbit/s
    When instances leave while a configuration of 364 kB changes each second
    Then each daemon in touch knew each change within 2.5 seconds

  Scenario: All daemons in touch know a large configuration in time
    Given fleets of daemons with links of 5 to 100 Mbit/s
    When large changes come and paths fail at random, from 20 seeds
    Then each daemon in touch knew each change within 2.5 seconds

  # Instead of all keys of the store, the copy of a peer that knew no more was
  # read again and again.
  Scenario: A copy without news does not replace a read of the store
    Given fleets of daemons with links of 5 to 100 Mbit/s
    When large changes come and paths fail at random, from seed 92
    Then each daemon in touch knew each change within 2.5 seconds

  # The changes since long ago do not arrive in time, and all keys come after.
  Scenario: A lone daemon on a slow link is back in time after an outage
    Given fleets of daemons with links of 5 to 100 Mbit/s
    When large changes come and paths fail at random, from seeds 152, 198, 226
    Then each daemon in touch knew each change within 2.5 seconds

  # The time-out of a call covered the whole response.
  Scenario: A response that keeps arriving is not lost
    Given a store whose response comes in parts, one each 0.1 seconds
    When a daemon reads changes, and allows pauses of 0.5 seconds
    Then it has the changes

  # Followers trusted a daemon for as long as its response had taken.
  Scenario: A response that arrives for long proves nothing later than its start
    Given a store whose response with a change arrives for 1 second
    When a daemon watches the store
    Then what it knows is proved for the time at which the response began

  Scenario: A response that stops in the middle is lost
    Given a store whose response stops in the middle
    When a daemon reads changes, and allows pauses of 0.5 seconds
    Then the response is lost, and it is known that a part came

  # Changes longer than the memory allows were asked for again and again.
  Scenario: A response that is too long is known to be incomplete
    Given a store whose response comes in parts, one each 0.1 seconds
    When a daemon reads changes, and allows 500 bytes
    Then the response is lost, and it is known that a part came

  Scenario: A daemon reads all keys instead of changes that are too long
    Given a store whose changes are too long, and whose keys are not
    When a daemon follows it
    Then it knows the store's newest revision

  Scenario: A response that goes on without end is lost
    Given a store whose response goes on without end
    When a daemon reads changes, and allows pauses of 0.5 seconds
    Then the response is lost, and it is known that a part came
