Feature: A router keeps to what a backend says of itself in its answers

  What was seen: with the list of backends silent, a backend said in its answers that it leaves, and
  got requests 2 to 3 s later from the router that had passed such an answer on; another one turned
  requests away with 503 and asked for 3 s of rest, and got four more from that router meanwhile.
  How it came about: a backend's leaving was taken from the list alone, which was down just then; a
  refusal raised its share of failures by a quarter, which halves every 4 s.
  Cause: nothing read the two headers. What proved it: here the list says "ready" all the while and
  no store, no load and no other fault is needed. The bounds are the users' own: 2 s after
  an answer that says so, and from half a second after a refusal to the end of the rest.

  Scenario: A backend that says it leaves gets nothing more, whatever the list says
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And backend "b" works for 0.03 s on each request
    And backend "a" says in its answers that it leaves
    When a client sends POST on "once" until "a" has answered
    And the list says that "a" is back
    And 2 s later a client sends POST on "once" 20 times on one connection
    Then every answer is 200 with the body of "b"
    And "a" got nothing since

  Scenario: Where all backends say that they leave, a caller is told to come back
    Given a plain backend "a"
    And a router that knows them
    And backend "a" says in its answers that it leaves
    When a client sends POST on "once" until "a" has answered
    And 2 s later a client sends POST on "once" with body "abc"
    Then the client gets 503
    And the answer has a fractional Retry-After
    And "a" got nothing since

  Scenario: A backend that asks for rest gets none of many requests meanwhile, and some afterwards
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And backend "b" works for 0.03 s on each request
    And backend "a" asks for 2 s of rest and then serves
    When a client sends POST on "once" until "a" has answered
    And a client goes on sending POST on "once" for 3 s
    Then no request reached "a" between 0.5 s after that answer and the end of the rest
    And requests reached "a" after the rest

  Scenario: A good answer that was under way does not end the rest
    Given a plain backend "a"
    And a router that knows them
    When a client sends a call on "once" and its backend asks another one for 4 s of rest meanwhile
    And a client sends POST on "once" with body "abc"
    Then the client gets 503
    And no request reached "a" between 0.5 s after that answer and the end of the rest

  Scenario: Where all backends want rest, a caller is told at once when it ends
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And all backends ask for 10 s of rest
    When a client sends POST on "once" with body "abc"
    And a client sends POST on "once" and takes the time
    Then the client gets 503
    And it was answered within 0.2 s
    And the answer tells to come back after 9 to 15 s
    And each backend got 1 request

  Scenario: A rest that ends in time is waited for
    Given a plain backend "a"
    And a router that knows them
    And backend "a" asks for 0.8 s of rest and then serves
    When a client sends POST on "once" until "a" has answered
    And a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: A slow answer is not given up where all others want rest
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And backend "b" asks for 5 s of rest and then serves
    When a client sends POST on "repeat" until "b" has answered
    And backend "a" works for 1.2 s on each request from now on
    And a client sends POST on "repeat" and takes the time
    Then the client gets 200 with the body of a backend
    And it was answered within 1.5 s

  Scenario: An engine that says in a stream that it leaves gets no further stream
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them
    And backend "d" says in its answers that it leaves
    When clients stream on "chat" until "d" has answered
    And 2 s later clients stream on "chat" 6 times
    Then "d" got nothing since

  Scenario: An engine that says while it reads a prompt that it leaves is given no other prompt
    Given a prefill engine "p"
    And a prefill engine "q"
    And a decode engine "d"
    And a router that knows them
    And backend "p" says in its answers that it leaves
    When clients stream on "chat" until "p" has answered
    And 2 s later clients stream on "chat" 6 times
    Then "p" got nothing since but what releases memory

  Scenario: Streams whose prompts were being read as their engine asked for rest go to another one
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a decode engine "f"
    And a router that knows them
    And the first decode engine that is asked wants 3 s of rest
    And engine "p" reads the first prompt at once and the others in 1.0 s
    When 8 clients stream on "chat" at the same time
    Then all of these streams are whole
    And no request reached that engine between 0.5 s after that answer and the end of the rest
    And no prompt was read twice

  Scenario: What one router heard of a backend's leaving keeps the others from it as well
    Given a plain backend "a"
    And a plain backend "b"
    And two routers that hear each other
    And backend "b" works for 0.03 s on each request
    And backend "a" says in its answers that it leaves
    When a client sends POST on "once" until "a" has answered
    And 0.6 s later a client sends POST on "once" 20 times to the second router
    Then every answer is 200 with the body of "b"
    And "a" got nothing since

  Scenario: A request that a leaving backend ends with has not ended it
    Given a plain backend "a"
    And a router that knows them
    And backend "a" says in its answers that it leaves
    When a client sends POST on "once" until "a" has answered
    And backend "a" resets the next request on "once"
    Then no request is suspected of ending backends
