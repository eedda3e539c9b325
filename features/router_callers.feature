Feature: Nothing reaches an engine for a caller who has left, and no engine works on for it

  Closing a connection, resetting it and ending only the sending side all count as leaving.

  Scenario Outline: A caller who leaves while its call is at work frees the backend
    Given a plain backend "a"
    And a router that knows them
    And "a" holds its answers
    When a client sends POST on "<route>" without waiting
    And "a" has got 1 request
    And the client <leaves>
    Then half a second later nothing is at work for it and nothing more arrives

    Examples:
      | route  | leaves           |
      | repeat | closes           |
      | repeat | resets           |
      | repeat | ends its sending |
      | once   | closes           |
      | once   | ends its sending |

  Scenario Outline: A caller who leaves with half of its body sent asked for nothing
    Given a plain backend "a"
    And a router that knows them
    When a client sends the first half of a POST on "repeat"
    And the client <leaves>
    Then no backend was asked for it, at once or later

    Examples:
      | leaves           |
      | closes           |
      | resets           |
      | ends its sending |

  Scenario: A long body that its backend has not read yet does not reach it after the close
    Given a plain backend "a"
    And a router that knows them
    And "a" leaves bodies unread
    When a client sends POST on "repeat" of 4000000 bytes without waiting
    And "a" has read 1 head
    And 0.2 s pass
    And the client closes
    And 0.5 s pass
    And "a" reads bodies again
    Then no backend was asked for it, at once or later

  Scenario Outline: What waits behind a request in flight goes with its caller
    Given a plain backend "a"
    And a router that knows them
    And "a" holds its answers
    When a client sends POST on "repeat" and behind it one of <bytes> bytes
    And "a" has got 1 request
    And the client <leaves>
    Then half a second later nothing is at work for it and nothing more arrives

    Examples:
      | bytes  | leaves           |
      | 3      | closes           |
      | 3      | ends its sending |
      | 600000 | closes           |
      | 600000 | resets           |
      | 600000 | ends its sending |

  Scenario Outline: A request whose caller left before the router read it is sent to nobody
    Given a plain backend "a"
    And a decode engine "d"
    And a router that knows them
    And 4 connections to the backends of "<route>" rest
    When the router is busy while 40 clients send on "<route>" and each <leaves>
    Then no backend was asked for it, at once or later

    Examples:
      | route  | leaves           |
      | repeat | closes           |
      | repeat | resets           |
      | repeat | ends its sending |
      | once   | closes           |
      | chat   | closes           |

  Scenario: A request on a kept connection that closed before it was read is sent to nobody
    Given a plain backend "a"
    And a router that knows them
    And 4 connections to the backends of "repeat" rest
    When 4 clients with answers ask again on "repeat" and close while the router is busy
    Then the backends ran 4 requests

  Scenario: A call that breaks when its caller has left is not made again
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And 4 connections to the backends of "repeat" rest
    And the backends hold their answers
    When a client on "repeat" leaves while the router is busy and its backend breaks off
    Then the backends ran 1 request

  Scenario Outline: A caller who leaves before its backend can be reached is not sent there later
    Given a plain backend "a"
    And a router that knows them
    And "a" accepts no connections
    When a client sends POST on "<route>" without waiting
    And 0.2 s pass
    And the client closes
    And "a" accepts connections again
    Then no backend was asked for it, at once or later

    Examples:
      | route  |
      | repeat |
      | once   |

  Scenario Outline: A caller who leaves while its prompt is read frees the prefill engine
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And "p" holds its answers
    When a client asks for a stream on "<route>"
    And "p" has got 1 request
    And the client <leaves>
    And "p" lets go
    Then half a second later nothing is at work for it and nothing more arrives

    Examples:
      | route | leaves           |
      | chat  | closes           |
      | chat  | resets           |
      | talk  | ends its sending |

  Scenario: A caller who leaves between prefill and decode has what was read for it released
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And the backends hold their answers
    When a client asks for a stream on "chat"
    And "p" has got 1 request
    And "d" accepts no connections
    And the backends let go
    And 0.2 s pass
    And the client closes
    And "d" accepts connections again
    Then half a second later nothing is at work for it and nothing more arrives
    And engine "p" was told to release what it kept
    And the decode engines ran 0 requests

  Scenario Outline: A caller who leaves in the middle of its stream frees the decode engine
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And every decode engine's next fault is "wait after event 2" at the first that runs
    When a client asks for a stream on "<route>"
    And the client has 2 events
    And the client <leaves>
    Then half a second later nothing is at work for it and nothing more arrives

    Examples:
      | route | leaves           |
      | chat  | closes           |
      | chat  | resets           |
      | talk  | ends its sending |

  Scenario Outline: A caller who reads nothing and leaves frees the decode engine
    Given a prefill engine "p"
    And a decode engine "d" whose streams are long
    And a router that knows them
    When a client that reads nothing asks for a stream on "chat"
    And the router can write no more to it
    And the client <leaves>
    Then half a second later nothing is at work for it and nothing more arrives

    Examples:
      | leaves           |
      | closes           |
      | resets           |
      | ends its sending |

  Scenario Outline: A caller who leaves while it waits for room is not placed later
    Given a decode engine "d"
    And a router that knows them
    And every backend's next 4 faults are "wait after event 2"
    When 4 other clients ask for streams on "talk"
    And a client asks for a stream on "chat"
    And it waits for room
    And the client <leaves>
    And the other clients close
    Then half a second later nothing is at work for it and nothing more arrives
    And the decode engines ran 4 requests

    Examples:
      | leaves           |
      | closes           |
      | resets           |
      | ends its sending |

  # Guards against connections that are held for as long as bytes of a body arrive.
  Scenario Outline: A body that comes a byte at a time is waited for as long as its request may be served
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    When a client with <left> s sends a byte of its body on "<route>" each 0.1 s
    Then it has the status 408 after <most> s, and no backend was asked for it

    Examples:
      | route   | left | most |
      | repeat  | 2.0  | 2.0  |
      | once    | 2.0  | 2.0  |
      | brief   | 2.0  | 0.4  |
      | unknown | 2.0  | 15.0 |

  # Guards against honest slow bodies that a time limit of their own would end.
  Scenario: A slow body that is complete in time is passed on
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    When a client with 4.0 s sends a body of 30 bytes on "repeat", a byte each 0.1 s
    Then it has the status 200, and one backend has run it once

  # Guards against answers that have run and are thrown away because others are large too.
  Scenario Outline: Several large answers at once are all delivered whole, <route>
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    When 3 clients with 30 s send POST on "<route>" at once, and "a" answers with 13 MB each
    Then each of them has a whole answer of 13 MB

    Examples:
      | route  |
      | once   |
      | repeat |
