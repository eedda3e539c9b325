Feature: The store comes back from a copy: revisions go back and are given out again

  Background:
    Given a plain backend "a"
    And a plain backend "b"
    And a metadata store that lists them
    And the store holds versions 2 to 11

  Scenario Outline: A backend that says it leaves after the return is known to leave: a store that <tells> its era
    Given the store <tells> its era
    And a router that reads the store
    When the store is away for 0.5 s and comes back from a copy 10 revisions older
    And backend "a" says in the list that it leaves
    Then 2.0 s later 20 calls reach backend "b" alone

    Examples:
      | tells         |
      | tells         |
      | does not tell |

  Scenario Outline: What was written while a router was away is known, though revisions went past its own: a store that <tells> its era
    Given the store <tells> its era
    And a router that reads the store
    When the store is away for 0.5 s, comes back from a copy 10 revisions older, and meanwhile "a" leaves and versions 12 to 26 are written
    Then 2.0 s later 20 calls reach backend "b" alone

    Examples:
      | tells         |
      | tells         |
      | does not tell |

  Scenario: A router that reads nothing itself learns from another what the restored store says
    Given a router that reads the store
    And a second router that hears it and reads nothing
    When the store is away for 0.5 s and comes back from a copy 10 revisions older
    And backend "a" says in the list that it leaves
    Then 2.0 s later 20 calls to the second router reach backend "b" alone

  Scenario: A router asks the restored store for everything once, not over and over
    Given a router that reads the store
    When the store is away for 0.5 s and comes back from a copy 10 revisions older
    Then the store is called at most 6 times in 2.0 s

  Scenario: A table that the copy lacks stays in force
    Given a router that reads the store
    When the store is away for 0.5 s and comes back from a copy 10 revisions older
    Then 2.0 s later the router still has version 11

  Scenario: A backend that the copy lacks is used on and is not missed once it is written again
    Given backend "b" is listed last and "a" has gone
    And a router that reads the store
    When the store is away for 0.5 s and comes back from a copy 2 revisions older, and "a" goes again
    Then calls for 1.0 s are all answered
    When backend "b" is listed again
    Then calls for 3.0 s are all answered

  Scenario: A backend that the copy lacks and that is not written again is gone after two seconds
    Given backend "b" is listed last
    And a router that reads the store
    When the store is away for 0.5 s and comes back from a copy 1 revision older
    Then 0.5 s later the router may send calls to "a" and "b"
    And 2.5 s later 20 calls reach backend "a" alone

  Scenario Outline: What a backend said before still binds when the copy calls it ready: it <said>
    Given a router that reads the store
    And backend "a" <said>
    And the router knows that it did
    When the store is away for 0.5 s and comes back from a copy 1 revision older
    Then 2.0 s later 20 calls reach backend "b" alone

    Examples:
      | said                         |
      | says in the list that it leaves |
      | goes from the list           |

  Scenario: A backend that had gone and is written again after the return is used again
    Given a router that reads the store
    And backend "a" goes from the list
    And the router knows that it did
    When the store is away for 0.5 s and comes back from a copy 1 revision older
    And backend "a" is listed again
    Then 0.5 s later the router may send calls to "a" and "b"
