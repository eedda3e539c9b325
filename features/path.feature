@deployment
Feature: The whole path, as separate processes

  Scenario: A streamed answer comes whole, prefilled on one engine and decoded on another
    When a caller streams 30 tokens through gateway-1
    Then the answer is whole
    And it was prefilled on one engine and decoded on another
    And nothing stays held

  Scenario: A whole answer
    When a caller asks for 12 tokens at once through gateway-2
    Then the whole answer is right

  Scenario: A prompt of many tokens outlasts several heartbeats in its transfer
    When a caller streams 5 tokens after a prompt of 24000 tokens through gateway-1
    Then the answer is whole
    And nothing stays held

  Scenario: The OpenAI client works unchanged
    Then the OpenAI client lists the model through gateway-1
    And the OpenAI client chats through gateway-1, streamed and whole
    And the OpenAI client gets a typed error for an unknown model through gateway-1

  Scenario: A stop sequence ends the answer before it, streamed and whole
    When a caller asks through gateway-1 for an answer that stops before its 8th token
    Then the answer ends there, streamed and whole
    And nothing stays held

  Scenario: How to sample reaches the engine that decodes
    When a caller asks through gateway-1 with a temperature and a seed
    Then the engine that decoded was told both

  Scenario: Huge headers are refused and take nothing from others
    When a caller sends 500000 bytes of headers through gateway-1
    Then the headers are refused
    And a caller streams 5 tokens through gateway-1
    And the answer is whole

  Scenario: A caller who leaves frees every engine
    When a caller streams 400 tokens through gateway-1
    And the caller leaves after 3 events
    Then nothing stays held

  Scenario: Eight streams at once get each their own answer
    When 8 callers stream 40 tokens each through both gateways
    Then every answer is whole
    And nothing stays held

  Scenario: More streams than slots: those without room are told so at once
    When 60 callers stream 200 tokens each through both gateways
    Then every answer is whole or a refusal that says when to come back
    And nothing stays held

  Scenario: A call that may not be repeated, sent twice with one key, runs once
    When a service call is sent through gateway-1
    And the same call is sent through gateway-2
    Then both got the same answer
    And the service ran the key 1 times

  Scenario: A call that may be repeated needs no key
    When a repeatable call is sent through gateway-1
    Then the call succeeded

  Scenario Outline: Bad input gets a clear answer and takes nothing from others
    When a caller sends <what>
    Then the status is <status> with code <code>
    And a caller streams 5 tokens through gateway-1
    And the answer is whole

    Examples:
      | what                           | status | code                |
      | malformed JSON                 | 400    | bad_request         |
      | a wrong type                   | 400    | bad_request         |
      | no messages                    | 400    | bad_request         |
      | deeply nested JSON             | 400    | bad_request         |
      | an unknown model               | 404    | not_found           |
      | an unknown path                | 404    | not_found           |
      | a wrong method                 | 405    | method_not_allowed  |
      | an oversized body              | 413    | payload_too_large   |
      | a temperature out of range     | 400    | bad_request         |
      | an empty stop sequence         | 400    | bad_request         |
      | too many tokens                | 413    | payload_too_large   |
      | no token                       | 401    | unauthorized        |
      | a bad token                    | 401    | unauthorized        |
      | a bad deadline                 | 400    | bad_request         |
      | an unknown class               | 400    | bad_request         |
      | a service call without key     | 400    | bad_idempotency_key |
      | a key that is no UUIDv7        | 400    | bad_idempotency_key |
      | a key that is too old          | 400    | bad_idempotency_key |
      | a key from the future          | 400    | bad_idempotency_key |
