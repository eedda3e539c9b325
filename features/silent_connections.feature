Feature: Open connections to backends go silent for good while new ones work

  Scenario: A call that may be repeated meets silent connections everywhere and is answered in time
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And clients have used 3 connections to each backend with calls on "repeat"
    And the open connections to every backend have gone silent
    When a client sends POST on "repeat" and its time is taken
    Then the client gets 200 with the body of a backend
    And the answer came within 1 s
    And 1 request was left unanswered

  Scenario: A call that may run once is lost with its connection, honestly, and no second one is
    Given a plain backend "a"
    And a router that knows them
    And clients have used 4 connections to each backend with calls on "repeat"
    And the open connections to every backend have gone silent
    When a client sends POST on "brief" and its time is taken
    Then the client gets 504
    And the answer came within 0.6 s
    When a client sends POST on "brief" 5 times on one connection
    Then every answer is 200 with the body of a backend
    And 1 request was left unanswered
    And no request ran twice

  Scenario: While a call that may run once still waits, others use new connections
    Given a plain backend "a"
    And a router that knows them
    And clients have used 4 connections to each backend with calls on "repeat"
    And the open connections to every backend have gone silent
    When a client sends POST on "once" and waits for 0.5 s
    And a client sends POST on "brief" 5 times on one connection
    Then every answer is 200 with the body of a backend
    And 1 request was left unanswered

  Scenario: Nothing is dropped and nothing opened while every connection answers
    Given a plain backend "a"
    And a router that knows them
    And clients have used 4 connections to each backend with calls on "repeat"
    When a client sends POST on "repeat" 20 times on one connection
    Then every answer is 200 with the body of a backend
    And backend "a" accepted 4 connections

  # Eight engines need two that prefill. With fewer the router soon gives one of the two another role,
  # and sends it no more prompts.
  Scenario: A prompt goes to another engine's connection when the one to the prefill engine is silent
    Given a prefill engine "p"
    And a prefill engine "q"
    And a decode engine "d"
    And a decode engine "e"
    And a decode engine "f"
    And a decode engine "g"
    And a decode engine "h"
    And a decode engine "i"
    And a router that knows them
    And clients have used 2 connections to each prefill engine with streams on "talk"
    And the open connections to every prefill engine have gone silent
    When a client streams on "talk" and its time is taken
    Then the client gets 6 events, each once and in order, and a whole end
    And the answer came within 1.5 s
    And 1 request was left unanswered

  Scenario: A resumable stream that meets silent decode connections everywhere is answered in time
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them
    And clients have used 2 connections to each decode engine with streams on "chat"
    And the open connections to every decode engine have gone silent
    When a client streams on "chat" and its time is taken
    Then the client gets 6 events, each once and in order, and a whole end
    And the answer came within 2 s
    And 1 request was left unanswered

  Scenario: A resumable stream whose connection falls silent goes on over a new one, all others silent
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them
    And clients have used 2 connections to each decode engine with streams on "chat"
    When a client streams on "chat" and all connections fall silent after event 3
    Then the client gets 6 events, each once and in order, and a whole end
    And the answer came within 2 s
    And the decode engines ran 2 requests
    And 0 requests were left unanswered

  Scenario: A stream that may not be repeated ends honestly at its deadline, and the next ones run
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And clients have used 3 connections to each decode engine with streams on "talk"
    And the open connections to every decode engine have gone silent
    When a client with 2 s streams on "talk" and its time is taken
    Then the client gets 504
    And the answer came within 2.3 s
    When a client streams on "talk" and its time is taken
    Then the client gets 6 events, each once and in order, and a whole end
    And 1 request was left unanswered
    And no request ran twice

  Scenario: An engine that answers on other connections is not avoided for one that fell silent
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them
    And clients have used 2 connections to each decode engine with streams on "chat"
    When one of 4 long streams on "chat" falls silent after event 3
    Then it goes on at another engine
    And every decode engine is still offered new streams

  # Guards against streams cut because no other engine had room, though their own would have gone on.
  Scenario: A stream whose engine pauses stays there while no other engine has room
    Given time and network are simulated with the seed "1"
    And a decode engine "d"
    And a router that knows them
    And the decode engines make an event each 0.9 s
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And the decode engines ran 1 request

  Scenario: What a backend never acknowledges ends a wait in time, and makes no promise
    Given a plain backend "a"
    And backend "a" accepts connections and reads nothing
    And a router that knows them
    When a client sends POST on "once" with 900000 bytes and its time is taken
    Then the client gets 502
    And the answer came within 4 s
