Feature: Streams are read on one engine, made on another, and pass event by event, each once

  Background:
    Given a prefill engine "p"
    And a decode engine "d"
    And a decode engine "e"
    And a router that knows them

  Scenario: The prompt is read on one engine and the answer made on another
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" read the prompt once
    And one decode engine ran it with the memory kept at "p"

  Scenario Outline: A resumable stream that breaks goes on without a missing or doubled event
    Given every decode engine's next fault is "<fault>" at the first that runs
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And the second run went on behind event <last>

    Examples:
      | fault                 | last |
      | break within event 4  | 3    |
      | break within event 2  | 1    |
      | lose event 3          | 2    |
      | wait after event 2    | 2    |
      | unframed, ends within event 3 | 2 |

  # Guards against memory that grows as long as an engine sends an event without an end.
  Scenario: A resumable stream goes on elsewhere if an event has no end
    Given every decode engine's next fault is "endless event 4" at the first that runs
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And the second run went on behind event 3

  # Guards against memory and waits without a limit for the body of an engine's error response.
  Scenario Outline: A resumable stream goes on elsewhere if the body of an error has no end: <fault>
    Given every decode engine's next fault is "<fault>" at the first that runs
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end

    Examples:
      | fault         |
      | long error    |
      | stalled error |

  Scenario: A stream with neither a length nor chunks is passed on whole
    Given every decode engine's next fault is "unframed" at the first that runs
    When a client streams on "talk"
    Then the client gets 6 events, each once and in order, and a whole end

  Scenario: A stream without framing that ends ahead of its first event has been broken off
    Given every decode engine's next fault is "unframed, ends before event 1" at the first that runs
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end

  Scenario: A stream without framing that breaks and may not be resumed never looks complete
    Given every decode engine's next fault is "unframed, ends within event 4" at the first that runs
    When a client streams on "talk"
    Then the client gets 3 events and no end
    And the decode engines ran 1 request

  Scenario: An event that comes twice is passed on once
    Given every decode engine's next fault is "double event 3" at the first that runs
    When a client streams on "talk"
    Then the client gets 6 events, each once and in order, and a whole end

  Scenario: A stream that may not be resumed is cut off and never looks complete
    Given every decode engine's next fault is "break within event 4" at the first that runs
    When a client streams on "talk"
    Then the client gets 3 events and no end
    And the decode engines ran 1 request

  Scenario: A decode engine that refuses costs neither the prompt nor the promise
    Given every decode engine's next fault is "refuse" at the first that runs
    When a client streams on "talk"
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" read the prompt once

  Scenario: Without a prefill engine the decode engine reads the prompt itself
    When the list says that "p" is gone
    And a client streams on "talk" a while later
    Then the client gets 6 events, each once and in order, and a whole end

  Scenario: A prefill whose caller left is released
    Given the decode engines refuse everything
    When a client streams on "talk"
    Then the client gets 503
    And engine "p" was told to release what it kept

  Scenario: Engines that cannot be reached end in an honest refusal, not in knocking for ever
    Given backend "d" has died
    And backend "e" has died
    And backend "p" has died
    When a client streams on "chat"
    Then the client gets 503

  Scenario: No prompt is read for an answer whose engine cannot be reached
    Given backend "d" has died
    And backend "e" has died
    When a client streams on "chat"
    Then the client gets 503
    And engine "p" read no prompt

  Scenario: A client who leaves in the middle frees the decode engine
    Given every decode engine's next fault is "wait after event 2" at the first that runs
    When a client streams on "talk" and leaves after 2 events
    Then the decode engine that ran it sees its connection closed

  Scenario: A stopping router takes no stream that would outlast it
    When the router with 2 s of grace is told to stop and a client streams on "chat"
    Then the client gets 503
    And the decode engines ran 0 requests

  Scenario: A router that has been stopping for a while trusts no estimate of a stream's length
    When 3 s into a stop a client streams on "chat" with a short estimate
    Then the client gets 503
    And the decode engines ran 0 requests

  Scenario: A caller who goes on through another router is sent to the engine that keeps its prompt
    Given engine "e" keeps 50 tokens of part "ab"
    When a client goes on with a stream on "chat" behind event 2
    Then the client gets events 3 to 6, each once and in order, and a whole end
    And engine "e" ran it alone and no other engine was asked to

  Scenario: A prompt that only a prefill engine keeps is copied, not read
    Given engine "p" keeps 50 tokens of part "ab"
    When a client goes on with a stream on "chat" behind event 2
    Then the client gets events 3 to 6, each once and in order, and a whole end
    And one decode engine ran it with the prompt copied from "p"

  Scenario Outline: A prompt that nobody keeps is read again, whoever does not answer when asked
    Given engine "e" <what it keeps>
    When a client goes on with a stream on "chat" behind event 2
    Then the client gets events 3 to 6, each once and in order, and a whole end
    And engine "p" read the prompt once

    Examples:
      | what it keeps                |
      | keeps 20 tokens of part "ab" |
      | keeps 50 tokens of part "cd" |
      | does not tell what it keeps  |

  Scenario: A prompt read a moment ago is not read again when its decode engine breaks
    Given every decode engine's next fault is "break within event 4" at the first that runs
    And the engine that breaks accepts nothing more
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" read the prompt once

  Scenario: After a break the prompt is fetched from who still keeps it
    Given every decode engine's next fault is "break within event 4" at the first that runs
    And the engine that breaks forgets what it kept
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" read the prompt once
    And the second run fetched the prompt from "p"

  Scenario: An engine that broke a stream does not get it again, though it keeps the prompt
    Given every decode engine's next 2 faults are "break within event 4" at the first that runs
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" read the prompt once
    And each decode engine ran it once

  Scenario: While engines are nearly empty, decode engines read prompts and nothing is moved
    Given a second router with all mechanisms that knows them
    When a client streams on "chat" through the second router
    Then the client gets 6 events, each once and in order, and a whole end
    And engine "p" was asked for nothing
