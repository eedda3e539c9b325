Feature: The engine that makes an answer holds room while its prompt is read

  Background:
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them and that they hold room

  Scenario: No prompt is read for an answer for which no engine has room
    Given no decode engine holds room
    When a client streams on "chat"
    Then the client gets 503
    And engine "p" read no prompt

  Scenario: An answer takes the room that was held for it while its prompt was read
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And the decode engine that ran it held room for it

  Scenario: Room that was held for nobody is given back
    Given the prefill engine "p" refuses everything
    When a client streams on "chat"
    Then all room that was held is used or given back

  Scenario: A question on a connection that went silent is asked again on a new one
    Given clients have used 3 connections to each decode engine with streams on "talk"
    And the open connections to every decode engine have gone silent
    When a client streams on "talk" and its time is taken
    Then the client gets 6 events, each once and in order, and a whole end
    And the answer came within 1 s
    And 0 requests were left unanswered
