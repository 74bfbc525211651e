@fixture.estate
Feature: A backend server that is leaving gets no new work after 3 s

  Scenario: The VM list says that it leaves
    When the VM list says that catalogue-1 leaves
    Then catalogue-1 gets no new work after 3 s of load

  Scenario: Only the server itself says that it drains
    When catalogue-2 drains by its own sign and goes on serving
    Then catalogue-2 gets no new work after 3 s of load

  Scenario: It refuses work, and a read goes to another server
    When catalogue-3 refuses work without any other sign
    Then 40 reads through entry-1 are all answered

  Scenario: A server that closes every connection loses no read
    When catalogue-4 closes every connection
    Then 40 reads through entry-2 are all answered
