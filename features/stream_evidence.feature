Feature: What a router has seen of the listed versions counts against what engines show

  Background:
    Given version "v1" runs on prefill engine "p"
    And version "v1" runs on decode engine "d"
    And version "v1" runs on decode engine "e"
    And a fleet of 3 routers

  # Guards against a stream of a version that was rolled back, resumed where engines had its prompt before.
  Scenario Outline: A stream of a version that was rolled back goes on at no engine that had its prompt
    Given all clients have streamed on "chat" before
    And version "v2" joins on engines "q", "f" and "g" at all routers, and v1 leaves
    When 10 clients stream on "chat" and lose their connection after 2 events
    And version "v1" is listed again and "v2" is gone for <gone> s
    And <what happens>
    And each client resumes <how>
    Then no client holds events of two versions
    And each client was refused with 503 within 0.7 s

    Examples:
      | gone | what happens                    | how                                                   |
      | 11.5 | nothing else happens            | at the last router without naming its first request  |
      | 11.5 | all records of streams are lost | its stream at the last router                         |

  # Guards against a stream of a service without versions that goes on at the first engine that states one.
  Scenario: A stream that began where no version is stated goes on at no engine that states one
    Given the engines stated no version before
    When 4 clients stream on "chat" and their engines break off once "v2" has joined on "q", "f" and "g" and v1 leaves
    Then no client holds events of two versions

  # Guards against such a stream that ends although engines without a version are left.
  Scenario: A stream that began where no version is stated goes on where none is stated
    Given the engines stated no version before
    When 4 clients stream on "chat" and their engines break off once "v2" has joined on "q", "f" and "g" and v1 stays
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against streams of a service without versions that are refused in an outage of the source.
  Scenario: Streams that began where no version is stated go on in an outage of the source
    Given the engines stated no version before
    And no router reaches its source
    When 12 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then each client has 6 events, each once and in order

  # Guards against a history that ends whenever an idle engine leaves and is gone in one response.
  Scenario: An engine that says that it leaves and is gone in one response hides no version
    Given "e" leaves and is gone in one response of the source
    When 12 clients stream on "chat" and lose their connection after 2 events
    And all records of streams are lost
    And each client resumes its stream at the last router
    Then each client has 6 events, each once and in order

  # Guards against a version that joins and leaves within one response, of which the list shows nothing.
  Scenario: A router that hears of a version only in between resumes no stream of it
    Given the last router is cut off from the other routers
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 stays
    When 10 clients stream on "chat" and lose their connection after 2 events
    And the last router hears in one response that "f" has joined and is gone
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s
