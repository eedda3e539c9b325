Feature: A large configuration reaches routers on narrow links

  What was seen: seconds after a version had been confirmed, two of thirty routers still served by the
  version before it, and never got another one. How it came about: the configuration had grown a
  hundredfold, their links had a tenth of the others' rate. Cause: every read of the state had to be
  whole within a fixed time and began again at nothing, the same version was fetched from the source
  and from another router at once over the same link, and a watch from far behind brought every
  version in between. What proved it: the collected logs (links full, nothing adopted) and these
  scenarios, in which the link carries a version in 3.2 s.

  Background:
    Given a plain backend "a"
    And a metadata store that lists it

  Scenario: A version that the link carries in three seconds is adopted
    Given a router that reads the store over a narrow link
    When the store gets version 2, which the link carries in 3.2 s
    Then the router has version 2 within 4.5 s

  Scenario: Versions that follow each other faster than the link carries them do not pile up
    Given a router that reads the store over a narrow link
    When the store gets version 2, which the link carries in 1.6 s
    And the store gets versions 3 to 9 of the same size, one every 0.2 s
    Then the router has version 9 within 5.0 s

  Scenario: What another router has brought is not read from the source again
    Given a router that reads the store
    And a second router that reads the store over a narrow link
    When the store gets version 2, which the link carries in 3.2 s
    Then the second router has version 2 within 1.0 s
    And within 3.0 s the link has carried less than half of that version

  Scenario: A router tells operators how many others serve by an older version
    Given a router that reads the store
    And a second router that hears it and reads nothing
    When the store gets version 2, which the second router may not take over
    Then the router's figures tell within 1.0 s that 1 router is behind
    And they tell that 0 routers are behind 1.0 s after the second may take it over

  Scenario: A router that starts alone on a narrow link becomes ready
    Given the store holds version 2, which the link carries in 3.2 s
    When a router starts that reads the store over a narrow link
    Then it is ready within 4.5 s

  Scenario: A router that starts on a narrow link beside another is ready soon
    Given the store holds version 2, which the link carries in 3.2 s
    And a router that reads the store
    When a second router starts that reads the store over a narrow link
    Then it is ready within 1.0 s

  Scenario: Who knows a version is given what else has changed, without its routes
    Given the store holds version 2, which the link carries in 3.2 s
    And a router that reads the store
    Then the router gives its state in less than 60000 bytes to one that knows version 1
    And in less than 1000 bytes to one that knows version 2
    And one that asks for what is no version gets 400

  Scenario: An answer that flows is not given up by the clock, nor made twice
    Given a plain backend "b"
    And a router that knows them
    And every backend's next fault is "flows slowly"
    When a client sends POST on "repeat" with body "abc"
    Then the client gets 200 with the body of a backend
    And the backends ran 1 request

  Scenario: A version older than the one that is on its way does not make its read begin again
    Given a router that reads the store over a narrow link
    And a second router that knows version 1
    When the store gets version 4 and at once version 5, which the link carries in 3.2 s
    And 2.0 s later the second router learns of version 4
    Then the router has version 5 within 4.5 s
