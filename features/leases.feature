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
