Feature: A router passes requests on, and says honestly what became of them

  Background:
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them

  Scenario: Method, path, query, body, headers, status and body pass unchanged
    When a client sends POST on "repeat" with header "X-Any: 1" and body "abc"
    Then the client gets 200 with the body of a backend
    And the answer has the header "x-own" "kept"
    And a backend got POST "/repeat/x?y=%2F&z" with header "X-Any" "1" and body "abc"

  Scenario: A body in chunks reaches the backend whole
    When a client sends "hello world" on "repeat" in chunks
    Then the client gets 200 with the body of a backend
    And a backend got POST "/repeat/x" with body "hello world"

  Scenario: An answer to another request is never passed on
    Given every backend's next fault is "late answer to another"
    When a client sends POST on "repeat" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: Bytes behind a whole answer belong to nobody
    Given every backend's next fault is "bytes behind"
    When a client sends POST on "repeat" 4 times on one connection
    Then every answer is 200 with the body of a backend

  Scenario: An answer that ends with its connection is whole
    Given every backend's next fault is "ends with the connection"
    When a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario Outline: A repeatable call is repeated elsewhere
    Given every backend's next fault is "<fault>" at one backend
    When a client sends POST on "repeat" with body "abc"
    Then the client gets 200 with the body of a backend
    And the backends ran 2 requests

    Examples:
      | fault   |
      | reset   |
      | cut     |
      | error   |
      | encoded |

  Scenario Outline: A call that may run once is not repeated, and its answer makes no promise
    Given every backend's next fault is "<fault>"
    When a client sends POST on "once" with body "abc"
    Then the client gets 502
    And the backends ran 1 request

    Examples:
      | fault   |
      | reset   |
      | cut     |
      | encoded |

  Scenario: A backend's own failure passes unchanged where nothing may be repeated
    Given every backend's next fault is "error"
    When a client sends POST on "once" with body "abc"
    Then the client gets 500 with the body "broken"

  Scenario: What a backend refused goes to another, also where it may run once
    Given every backend's next fault is "refuse" at one backend
    When a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: A call that every backend refused is told as not run, with a time to come back
    Given every backend's next 9 faults are "refuse"
    When a client sends POST on "once" with body "abc"
    Then the client gets 503
    And the answer has a fractional Retry-After
    And the backends ran 2 requests

  Scenario: A backend that does not listen costs no attempt
    Given backend "a" has died
    When a client sends POST on "once" 6 times on one connection
    Then every answer is 200 with the body of a backend

  Scenario: A route's time-out ends in a final answer that makes no promise
    Given every backend's next fault is "silent"
    When a client sends POST on "brief" with body "abc"
    Then the client gets 504

  Scenario: A client who leaves frees the backend
    Given the backends hold their answers
    When a client sends POST on "once" and leaves once a backend has it
    Then that backend sees its connection closed

  Scenario: Headers that the router sets are not taken from callers
    When a client sends POST on "repeat" with header "X-Expected-Backend: z" and body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: What is not a request gets a clear answer and reaches no backend
    Then these bytes get these answers and reach no backend
      | bytes                                                                          | status |
      | GET /repeat/x HTTP/1.1\r\nHost hut.example\r\n\r\n                             | 400    |
      | nonsense\r\n\r\n                                                               | 400    |
      | GET /repeat/x HTTP/1.1\r\n\r\n                                                 | 400    |
      | POST /repeat/x HTTP/1.1\r\nHost: hut.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | POST /repeat/x HTTP/1.1\r\nHost: hut.example\r\nContent-Length: 9999999\r\n\r\n | 413    |
      | GET /unknown/x HTTP/1.1\r\nHost: hut.example\r\n\r\n                           | 404    |
      | GET /repeat/x HTTP/1.1\r\nHost: other.example\r\n\r\n                          | 404    |
      | GET http://hut.example/repeat/x HTTP/1.1\r\nHost: hut.example\r\n\r\n          | 400    |

  Scenario: A head beyond the limit gets 431
    When a client sends a head of 40000 bytes
    Then the client gets 431
    And the backends ran 0 requests

  Scenario: A request hidden behind another is a request of its own
    When a client sends two requests at once on "repeat" with ids "r-1" and "r-2"
    Then both are answered in order, each by a run of its own

  Scenario: A leaving backend gets nothing new, a vanished one only for a moment
    When the list says that "a" is leaving
    And a client sends POST on "repeat" 8 times on one connection
    Then every answer is 200 with the body of "b"

  Scenario: A backend whose address another incarnation has is used no more
    Given backend "a" was replaced at its address by "z", unknown to the list
    And backend "b" has died
    When a client sends POST on "repeat" 4 times on one connection
    Then every answer is 503
    And the newcomer was asked once

  Scenario: A planned stop lets what is in flight end, and tells callers to go elsewhere
    Given the backends hold their answers
    When a client sends POST on "repeat" and the router is told to stop
    And the backends let go
    Then the client gets 200 with the body of a backend
    And the answer has the header "connection" "close"
    And the router is no longer ready
    And the router ends

  Scenario: Near the end of a planned stop, whoever still waits gets a final answer
    Given the backends hold their answers
    When a client sends POST on "once" and the router with 3.5 s of grace is told to stop
    Then the client gets 502
    And the router ends

  Scenario: A failure in metrics is counted and harms no answer
    Given a plain backend "a"
    And a router that knows them
    And the router's counting of outcomes fails
    When a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend
    When a client sends POST on "nowhere" with body "abc"
    Then the client gets 404
    And the router has counted 2 failures of telemetry

  Scenario: A call that may be repeated does not wait long for a backend that fell silent
    Given every backend's next fault is "silent" at one backend
    When a client sends POST on "repeat" with body "abc"
    Then the client gets 200 with the body of a backend
    And the silent backend is avoided

  Scenario: Callers are told to come back later the longer nothing answers
    Given backend "a" has died
    And backend "b" has died
    When a client sends POST on "once" with body "abc"
    Then the client gets 503
    And the answer tells to come back after 0.3 to 0.5 s
    When a client sends POST on "once" with body "abc"
    Then the client gets 503
    And the answer tells to come back after 1.7 to 4.5 s

  Scenario: Whoever comes in a router's last moment is told so, and nothing is passed on
    Given the router is in the last moment of a planned stop
    When a client sends POST on "once" with body "abc"
    Then the client gets 503
    And the answer has a fractional Retry-After
    And no backend was asked
