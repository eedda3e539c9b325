Feature: Requests that break together share what is left of the retry budget

  Scenario: Streams that one engine breaks at one moment do not all begin again
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them and may repeat 3 times in a window
    When 4 clients stream on "chat" and engine "d" holds them after event 2
    And a decode engine "e" is listed and "d" breaks them all at one moment
    Then all clients have an end
    And the engines got at least 1 and at most 3 arrivals beyond the first of each request
