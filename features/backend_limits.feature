Feature: Routers together keep to the requests a second that a backend names

  What was seen: a backend of a plain service named in its answers that it takes 1.3 requests a
  second from all routers, and got 15 in 4 s from routers that had passed such answers on.
  How it came about: the backend was in need; two others of its service were sound and idle enough.
  Cause: no code read the header, so the backend was chosen like any other, by all routers.
  What proved it: here no other fault is needed, and one router alone breaks the bound. The bounds
  are the users' own: in any 4 s one and a half times what the limit allows, and five more.

  Scenario: One router keeps to a limit, and uses what it grants
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And backend "b" works for 0.03 s on each request
    And backend "a" names a limit of 2 requests a second
    When 2 clients of each router send POST on "once" for 6 s
    Then all of them are served
    And "a" was never given more than its limit allows
    And "a" was given at least 0.7 of its limit

  Scenario: A backend whose first answer is late is given what its limit grants
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And backend "b" works for 0.03 s on each request
    And backend "a" works for 0.25 s on its first request
    And backend "a" names a limit of 2 requests a second
    When 2 clients of each router send POST on "once" for 6 s
    Then all of them are served
    And "a" was never given more than its limit allows
    And "a" was given at least 0.7 of its limit

  Scenario: Four routers together keep to a limit
    Given a plain backend "a"
    And a plain backend "b"
    And 4 routers that hear each other
    And backend "b" works for 0.03 s on each request
    And backend "a" names a limit of 1.5 requests a second
    When 2 clients of each router send POST on "once" for 8 s
    Then all of them are served
    And "a" was never given more than its limit allows
    And "a" was given at least 0.7 of its limit

  Scenario: A repeat is a request like any other
    Given a plain backend "a"
    And a plain backend "b"
    And 2 routers that hear each other
    And backend "a" works for 0.03 s on each request
    And backend "b" fails every request
    And backend "a" names a limit of 2 requests a second
    When 2 clients of each router send POST on "repeat" for 6 s
    Then "a" was never given more than its limit allows

  Scenario: Where all backends are limited, some are served and the others are told at once
    Given a plain backend "a"
    And 4 routers that hear each other
    And backend "a" names a limit of 4 requests a second
    When 4 clients of each router send POST on "once" for 8 s
    Then "a" was never given more than its limit allows
    And "a" was given at least 0.9 of its limit
    And whoever was refused was told so within 0.3 s, with a time to come back
    And nothing that was refused reached a backend

  # Guards against refusals that are delayed by the routers' own waits, not by processor load.
  Scenario Outline: With all backends limited, refusals are prompt in simulated time, seed <seed>
    Given time and network are simulated with the seed "<seed>"
    And a plain backend "a"
    And 4 routers that hear each other
    And backend "a" names a limit of 4 requests a second
    When 4 clients of each router send POST on "once" for 8 s
    Then "a" was never given more than its limit allows
    And "a" was given at least 0.9 of its limit
    And whoever was refused was told so within 0.05 s, with a time to come back
    And nothing that was refused reached a backend

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A limit that a backend names no more holds no more
    Given a plain backend "a"
    And 2 routers that hear each other
    And backend "a" names a limit of 2 requests a second
    When 2 clients of each router send POST on "once" for 3 s
    And backend "a" names no limit any more
    And 1.5 s later 2 clients of each router send POST on "once" for 2 s
    Then all of these are served

  Scenario: A limited decode engine is given no prompt that it cannot answer
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And 2 routers that hear each other
    And backend "d" names a limit of 1 requests a second
    When 2 clients of each router stream on "chat" for 6 s
    Then all of them are served
    And "d" was never given more than its limit allows
    And no prompt was read twice by "p"

  Scenario: A limited prefill engine is given no more prompts than it names
    Given a prefill engine "p"
    And a prefill engine "q"
    And a decode engine "d"
    And a decode engine "e"
    And 2 routers that hear each other
    And backend "p" names a limit of 1 requests a second
    When 2 clients of each router stream on "chat" for 6 s
    Then all of them are served
    And "p" was never given more than its limit allows
