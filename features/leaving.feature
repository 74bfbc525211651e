@fixture.fleet
Feature: A draining backend server gets no new requests after 3 s

  Scenario: A server that the VM list marks as leaving gets no new requests
    When the VM list marks catalogue-1 as leaving
    Then catalogue-1 gets no new requests after 3 s of load

  Scenario: A server that announces draining gets no new requests
    When catalogue-2 announces draining in its responses and goes on serving
    Then catalogue-2 gets no new requests after 3 s of load

  Scenario: Reads that one server refuses are served by another
    When catalogue-3 refuses requests without announcing that it drains
    Then 40 reads through entry-1 all succeed

  Scenario: Reads succeed while one server closes every connection
    When catalogue-4 closes every connection
    Then 40 reads through entry-2 all succeed
