Feature: A router that is being stopped accepts only what it can answer in the time left

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples: requests in a stop
      | property                                                       |
      | a stopping router takes no call that it cannot answer          |
      | a stopping router takes no stream that it cannot finish        |
      | who is refused by a stopping router is told when to come back  |
      | a stop goes on after an error                                  |
      | what ends before the router is accepted                        |
      | a recent maximum covers its window                             |

  # Guards against calls that a stopping router passes on in its last second and answers 502 "may have run".
  Scenario Outline: A call that comes <late> s into a stop is answered <status>
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    And backend "a" takes 0.4 s for each call after the first, which it holds
    When a client sends POST on "once" and the router is told to stop
    And <late> s later another client sends POST on "once"
    Then the other client gets <status> within 1 s
    And backend "a" got <calls> calls

    Examples:
      | late | status | calls |
      | 4.0  | 200    | 2     |
      | 6.3  | 503    | 1     |
      | 7.0  | 503    | 1     |

  # Guards against calls that a stopping router takes by the typical latency of a service whose calls differ.
  Scenario: A service whose calls seldom take long gets no call that may take as long
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    And one of 20 calls to backend "a" takes 2.5 s, and the others 0.05 s
    When a client sends POST on "once" 20 times on one connection
    And the router is told to stop while a call to backend "a" goes on
    And 4.8 s later another client sends POST on "once"
    Then the other client gets 503 within 1 s

  # Guards against calls that wait in a stopping router although it can no longer answer them.
  Scenario: A call that waits for a backend is refused as soon as its answer would come too late
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a router that knows them
    And every call waits for a backend without end
    When a client sends POST on "once" while the router is told to stop, and waits for its answer
    Then the client gets 503
    And the answer came 5 to 6.5 s into the stop
    And no backend was asked

  # Guards against streams that a stopping router accepts and refuses again while an engine reads their prompt.
  Scenario: A stream whose prompt is being read is not refused any more
    Given time and network are simulated with the seed "1"
    And a plain backend "a"
    And a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And a prefill takes 0.8 s
    And backend "a" takes 0.4 s for each call after the first, which it holds
    When a client sends POST on "once" and the router is told to stop
    And 4.5 s later a client streams on "talk"
    Then the stream is answered 200 and whole
