Feature: Requests that break together share what is left of the retry budget

  Scenario: Streams that one engine breaks at one moment do not all begin again
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them and may repeat 3 times in a window
    When 4 clients stream on "chat" and engine "d" holds them after event 2
    And a decode engine "e" is listed and "d" breaks them all at one moment
    Then all clients have an end
    And the engines got at least 1 and at most 3 arrivals beyond the first of each request

  Scenario: A stream whose prompt must be read again pays for both arrivals before it goes on
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them and may repeat 4 times in a window
    When 4 clients stream on "chat" and engine "d" holds them after event 2
    And all engines have dropped their prompts
    And a decode engine "e" is listed and "d" breaks them all at one moment
    Then all clients have an end
    And the engines got at least 2 and at most 4 arrivals beyond the first of each request
    And the router tells that it made repeats and that it denied some

  Scenario: A router that fell silent keeps its share of the budget
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them and may repeat 4 times in a window
    And a second router that is heard and then ends
    When 4 clients stream on "chat" and engine "d" holds them after event 2
    And a decode engine "e" is listed and "d" breaks them all at one moment
    Then all clients have an end
    And the engines got at least 1 and at most 2 arrivals beyond the first of each request

  Scenario: A router that started anew leaves room for what its life before may have spent
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them, started anew, and may repeat 10 times in a window
    When 4 clients stream on "chat" and engine "d" holds them after event 2
    And a decode engine "e" is listed and "d" breaks them all at one moment
    Then all clients have an end
    And the engines got at least 1 and at most 2 arrivals beyond the first of each request

  Scenario: A prompt that was refused everywhere counts as arrivals like a run
    Given a prefill engine "p"
    And a prefill engine "q"
    And a decode engine "d"
    And a router that knows them and may repeat 2 times in a window
    And the prefill engines refuse everything
    When a client streams on "chat"
    Then the engines got at most 2 arrivals beyond the first of the request

  # Guards against streams cut after a pause of their engine because the next one fails.
  Scenario Outline: A stream whose engine pauses goes on there if the next one fails: <fault>
    Given a decode engine "d"
    And a decode engine "e"
    And a router that knows them and may repeat 2 times in a window
    And the next faults of the decode engines are "pause 1.6 s after event 2", then "<fault>"
    When a client streams on "chat"
    Then the client gets 6 events, each once and in order, and a whole end
    And the decode engines ran 2 requests

    Examples:
      | fault  |
      | error  |
      | reset  |
      | silent |
