@fixture.gateway
Feature: A gateway daemon serves only requests that have a key of a tenant

  Scenario Outline: A request needs a known key
    Given tenants ada and bob, and a route for /deposits/ that needs no key
    When a GET request to <path> has the headers <headers>
    Then its status is <status>
    And the instance, if any, saw the tenant <tenant> and no key

    Examples:
      | path      | headers                                | status | tenant |
      | /presses/ | Authorization: Token key-ada           | 200    | ada    |
      | /presses/ | authorization: token  key-bob          | 200    | bob    |
      | /presses/ | Authorization: Token key-b; Tenant-Id: ada | 200 | bob   |
      | /presses/ | Tenant-Id: ada                         | 401    | none   |
      | /presses/ | Authorization: Token key-none          | 401    | none   |
      | /presses/ | Authorization: Basic key-ada           | 401    | none   |
      | /presses/ | Authorization: Token                   | 401    | none   |
      | /presses/ | Authorization: Token key-ada; Authorization: Token key-ada | 401 | none |
      | /presses/ | Authorization: Token key-ada key-ada   | 401    | none   |
      | /presses/ | Authorization: Token key-both          | 401    | none   |
      | /nowhere/ | Authorization: Token key-none          | 404    | none   |
      | /deposits/ | Tenant-Id: ada                        | 200    | none   |
      | /deposits/ | Authorization: Basic key-ada; Tenant-Id: ada | 200 | none |
      | /deposits/ | Authorization: Token key-ada          | 200    | ada    |
