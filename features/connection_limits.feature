Feature: Routers together keep to the connections that a backend takes

  What was seen: four routers before a backend that takes 100 connections of all callers and resets
  any more; 160 callers at once got 502 for half of their calls, none of which had run, and all the
  connections went on resting at the backend, so that a fifth router would get none.
  How it came about: each router opens a connection for each call under way, and keeps it.
  Cause: nobody read how many connections a service takes, though its configuration says so.
  What proved it: the stand-in counts its open connections, and resets what goes beyond.

  Scenario: More callers at once than connections are all served, in turn
    Given a plain backend "a"
    And 4 routers that hear each other
    And backend "a" takes 100 connections and resets any more
    And backend "a" works for 0.5 s on each request
    When 40 clients of each router send POST on "once" for 3 s
    Then all of them are served
    And "a" reset no connection

  Scenario: A router that comes later finds room for its connections
    Given a plain backend "a"
    And 4 routers that hear each other
    And backend "a" takes 100 connections and resets any more
    And backend "a" works for 0.2 s on each request
    When 40 clients of each router send POST on "repeat" for 2 s
    And a router joins them
    And 10 clients of the newest router send POST on "once" for 2 s
    Then all of them are served
    And "a" reset no connection
