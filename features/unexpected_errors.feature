Feature: Only the caller's own connection tells a router that its caller has left

  Background:
    Given a plain backend "a"
    And a prefill engine "p"
    And a decode engine "d"
    And a router that knows them

  # Guards against requests that end with neither an answer nor a refusal after an error of the router's own.
  Scenario Outline: No connection to a backend can be opened: <kind>
    Given the router has no descriptor left for another connection
    When a client sends POST on "<kind>" and reads to the end of the connection
    Then it got 503 with a Retry-After, and no backend was asked

    Examples:
      | kind   |
      | once   |
      | repeat |

  # Guards against requests that end with neither an answer nor a refusal after an error of the router's own.
  Scenario Outline: An attempt fails in a way that nobody expected: <error> on <kind>
    Given each attempt raises <error> once the backend has the request
    When a client sends POST on "<kind>" and reads to the end of the connection
    Then it got 502 and a backend was asked

    Examples:
      | kind   | error                |
      | once   | TimeoutError         |
      | once   | ConnectionResetError |
      | once   | CancelledError       |
      | once   | ValueError           |
      | repeat | TimeoutError         |

  # Guards against streams that end with neither an answer nor a refusal after an error of the router's own.
  Scenario Outline: A stream fails before its prompt is read: <error>
    Given each prefill raises <error> before it is sent
    When a client streams on "talk" and reads to the end of the connection
    Then it got 503 with a Retry-After, and no backend was asked

    Examples:
      | error                |
      | OSError              |
      | CancelledError       |

  # Guards against requests that a stop ends before their handler has begun, and that get no answer.
  Scenario: A stop ends a request whose handler has not begun yet
    When a stop ends a request on "once" before its handler has begun
    Then it got 503 with a Retry-After, and no backend was asked

  # Guards against logs in which a router that cuts an answer off looks like a caller that leaves.
  Scenario Outline: The log tells who ended a request: <who>
    Given the decode engines make an event each 0.1 s
    When a client streams on "talk" and <who> ends it in the middle
    Then the request's line in the log has the outcome "<outcome>"

    Examples:
      | who        | outcome     |
      | the caller | caller gone |
      | the router | cut off     |

  # Guards against logs in which a router that closes a connection looks like a caller that does.
  Scenario Outline: The log tells by what a connection showed that its caller has left: <act>
    Given the decode engines make an event each 0.1 s
    When a client streams on "talk" and, in the middle, <act>
    Then the request's line in the log has the departure "<departure>"

    Examples:
      | act                            | departure   |
      | closes its connection          | closed      |
      | closes only its sending side   | closed      |
      | resets its connection          | reset       |
      | its router closes              | closed here |

  # Guards against answers that are cut off because the end of a stop does not wait for slow readers.
  Scenario: A stop waits for answers that are not sent yet, although their requests have ended
    Given the decode engines make long answers
    When a client streams on "talk" and reads only until its request has ended
    And the router is told to stop
    Then the client reads the whole answer once the stop has ended
