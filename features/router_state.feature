Feature: Routers follow versions and backends, from their source and from each other

  Background:
    Given a plain backend "a"

  Scenario: A router that knows no routes is not ready and answers 503, never 404
    Given a router whose source is silent
    When a client sends POST on "repeat" with body "abc"
    Then the client gets 503
    And the answer has a fractional Retry-After
    And the router is no longer ready

  Scenario: A router that starts while its source is silent learns from another
    Given a router that knows them
    And a second router whose source is silent
    When a client sends POST on "repeat" to the second router once it is ready
    Then the client gets 200 with the body of a backend

  Scenario: An older version is never taken
    Given a router that knows them
    When the first router's source tells of version 7
    And the first router's source tells of version 3
    Then the first router has version 7

  Scenario: A newer version spreads
    Given a router that knows them
    And a second router whose source is silent
    When the first router's source tells of version 7
    Then the second router has version 7

  # Guards against one component whose error keeps all others from a received state.
  Scenario: An error of one component keeps no other from its part of a received state
    Given a router that knows them
    And a second router whose source is silent
    And counting the reservations of others fails at the second router
    When the first router's source tells of version 7
    Then the second router has version 7
    And the second router has counted parts that failed

  Scenario: A backend that comes back under its old name is used again
    Given a router that knows them
    When the list says that "a" is gone
    And the list says that "a" is back
    And a client sends POST on "repeat" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: A failure that nobody expected does not end the following of the source
    Given a router that knows them
    When the first router's source fails in a way that nobody expected
    And the first router's source tells of version 7
    Then the first router has version 7

  Scenario: Hearing a router costs about the same in a large fleet
    Given a router that knows them
    Then hearing one of 369 costs it less than 4 times what one of 9 costs

  Scenario: A router that has less to give than it says is not asked without a pause
    Given a router that knows them
    And the router hears a second that is ahead by its word and has nothing to give
    Then the router asks it at most 20 times in 1.0 s

  Scenario: A router whose answer hardly flows does not keep a newer state of others away
    Given a router that knows them
    And a second router whose source is silent
    And the second router hears a third that is ahead and whose answer hardly flows
    When the first router's source tells of version 7
    Then the second router has version 7 within 5.0 s
