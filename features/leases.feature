Feature: Leases that last much longer than a process takes to die

  Scenario: A gateway that dies leaves nothing held, although its lease lasts on
    Given a deployment with leases of 60 s
    And a model request at the step decoding
    When gateway-1 dies
    Then nothing stays held

  Scenario: A gateway whose link breaks for a moment keeps its stream
    Given a deployment with leases of 60 s
    And a stream of 200 tokens through gateway-1 that has begun
    When the stream's link is cut and healed 3 times
    Then the answer is whole
    And the stream was never placed anew
    And nothing stays held

  Scenario: Peers that are rarely heard of while idle take orders at once
    Given a deployment with heartbeats to idle peers every 60 s
    And nothing was sent for longer than a lease
    When a caller streams 20 tokens through gateway-2
    Then the answer is whole
    When a service call is sent through gateway-2
    Then the service ran the key 1 times
    And nothing was refused or lost at any gateway

  Scenario Outline: An agent that stops answering is noticed by what is held at it: <fault>
    Given a deployment with heartbeats to idle peers every 60 s
    And a model request at the step decoding
    When the fault strikes: <fault>
    Then the caller has the whole answer
    And nothing stays held

    Examples:
      | fault                               |
      | freeze: decode agent                |
      | hold both: gateway to decode agent  |
      | hold back: gateway to decode agent  |
