Feature: The store is restored from a backup: revisions go back and are assigned again

  Background:
    Given a plain backend "a"
    And a plain backend "b"
    And a metadata store that lists them
    And the store holds versions 2 to 11

  Scenario Outline: A backend that leaves after a restore gets no more requests: a store that <reports> its era
    Given the store <reports> its era
    And a router that reads the store
    When the store is down for 0.5 s and is restored from a backup 10 revisions older
    And backend "a" is listed as leaving
    Then 2.0 s later 20 calls reach only backend "b"

    Examples:
      | reports         |
      | reports         |
      | does not report |

  Scenario Outline: Changes during an outage are applied though the revision is past the one before the restore: a store that <reports> its era
    Given the store <reports> its era
    And a router that reads the store
    When the store is down for 0.5 s, is restored from a backup 10 revisions older, and before it answers "a" leaves and versions 12 to 26 are written
    Then 2.0 s later 20 calls reach only backend "b"

    Examples:
      | reports         |
      | reports         |
      | does not report |

  Scenario: A restore to exactly the revision of the router is detected without later changes
    Given a router that reads the store
    When the store is down for 0.5 s, is restored from a backup 10 revisions older, and before it answers "a" leaves and versions 12 to 20 are written
    Then 1.0 s later 20 calls reach only backend "b"

  Scenario: A router that reads nothing itself takes over the restored state from another router
    Given a router that reads the store
    And a second router that hears it and reads nothing
    When the store is down for 0.5 s and is restored from a backup 10 revisions older
    And backend "a" is listed as leaving
    Then 2.0 s later 20 calls to the second router reach only backend "b"

  Scenario: A router reads the restored store only once
    Given a router that reads the store
    When the store is down for 0.5 s and is restored from a backup 10 revisions older
    Then the store receives at most 6 requests in 2.0 s

  Scenario: A route table that the backup lacks stays in force
    Given a router that reads the store
    When the store is down for 0.5 s and is restored from a backup 10 revisions older
    Then 2.0 s later the router still has version 11

  Scenario: A backend that the backup lacks stays in use until it is written again
    Given backend "b" is written last and "a" is removed
    And a router that reads the store
    When the store is down for 0.5 s and is restored from a backup 2 revisions older, and "a" is removed again
    Then all calls during 1.0 s are answered
    When backend "b" is written again
    Then all calls during 3.0 s are answered

  Scenario: A backend that the backup lacks is removed after two seconds if it is not written again
    Given backend "b" is written last
    And a router that reads the store
    When the store is down for 0.5 s and is restored from a backup 1 revision older
    Then 0.5 s later the router may send calls to "a" and "b"
    And 3.0 s later 20 calls reach only backend "a"

  Scenario Outline: A backend that <change> before a restore stays withdrawn although it is ready in the backup
    Given a router that reads the store
    And backend "a" <change>
    And the router has applied that change
    When the store is down for 0.5 s and is restored from a backup 1 revision older
    Then 2.0 s later 20 calls reach only backend "b"

    Examples:
      | change                   |
      | is listed as leaving     |
      | is removed from the list |

  Scenario: A removed backend that is written again after a restore is used again
    Given a router that reads the store
    And backend "a" is removed from the list
    And the router has applied that change
    When the store is down for 0.5 s and is restored from a backup 1 revision older
    And backend "a" is written again
    Then 1.0 s later the router may send calls to "a" and "b"
