@deployment
Feature: Links that come and go

  Scenario: Hundreds of lost links end no process, and traffic goes on afterwards
    When every link between gateways and agents is cut and healed 60 times
    Then no process has died
    And a caller streams 20 tokens through gateway-1
    And the answer is whole
    And nothing stays held

  Scenario: A process that leaves a hundred peers in mid-traffic, again and again, lives on
    Then 5 rounds of connecting to 100 agents and leaving them end well

  Scenario: Hollow processes end with 0 while their links are in use
    Then 100 hollow gateways connected to a hollow agent end with 0, and so does the agent

  Scenario: A stream goes on over a link that is lost and comes back at once
    Given a stream of 200 tokens through gateway-1 that has begun
    When the stream's link is cut and healed 3 times
    Then the answer is whole
    And the stream was never placed anew
    And nothing stays held

  Scenario: A stream goes on over a link that is slower than the engine's steps, and comes back
    Given a stream of 1000 tokens through gateway-1 that has begun
    When each way over the stream's link takes 20 ms
    And that link is cut in mid-stream 3 times, and the stream goes on each time
    Then the answer is whole
    And the stream was never placed anew
    And nothing stays held
