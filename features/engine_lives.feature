Feature: An engine may start anew under the identifier that it had

  Scenario: A stream whose engine started anew goes on at once, not after a silence
    Given decode engines "d", "e", "f" and "g"
    And a router that knows them as started
    When a client streams on "chat" and its engine holds it after event 2
    And that engine starts anew under its identifier
    Then the stream goes on within 0.3 s, each event once and in order

  Scenario: A call that may run once and whose backend started anew is not run again
    Given a plain backend "a"
    And a router that knows them as started
    And the backends hold their answers
    When a client sends a call on "once" and its backend starts anew under its identifier
    Then the client gets 502 within 0.3 s
    And the backends ran 1 request

  Scenario: A prompt that the life before had read is not looked for in the next one
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them as started
    When a client streams on "chat" and its engine holds it after event 2
    And the prefill engine starts anew under its identifier
    And that engine starts anew under its identifier
    Then the stream goes on within 0.3 s, each event once and in order
    And no order named the memory of a life that had ended

  # Guards against dropping the leaving state if its connection was opened within the clock margin.
  Scenario: A leaving state that the next life reported holds once its start is listed
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them as started
    And backend "b" works for 0.03 s on each request
    When a client sends POST on "once" until "a" has answered
    And 0.4 s later backend "a" says in its answers that it leaves
    And a client sends POST on "once" until "a" has answered
    And the list says that "a" started anew just before its first request
    And the list says that "b" is gone
    And 2 s later a client sends POST on "once" with body "abc"
    Then the client gets 503
    And "a" got nothing since

  Scenario: A connection to the life before is not used for the next one
    Given a plain backend "a"
    And a router that knows them as started
    When a client sends POST on "once" with body "abc"
    And backend "a" starts anew under its identifier, and old connections are silent
    And a client sends POST on "once" with body "abc"
    Then the client gets 200 with the body of a backend

  Scenario: A call that the next life runs already goes on when its start is heard of
    Given a plain backend "a"
    And a router that knows them as started
    And the backends hold their answers
    When a client sends a call on "once" and does not wait for it
    And its backend, which has started anew before that, is heard of only now
    Then the client gets 200 within 1.0 s
    And the backends ran 1 request
