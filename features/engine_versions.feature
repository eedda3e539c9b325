Feature: A stream goes on only at the software version that began it

  Background:
    Given version "v1" runs on prefill engine "p"
    And version "v2" runs on prefill engine "q"
    And version "v1" runs on decode engine "d"
    And version "v1" runs on decode engine "e"
    And version "v2" runs on decode engine "f"
    And version "v2" runs on decode engine "g"
    And a fleet of 3 routers

  # Guards against streams whose second half another software version has written, within one answer.
  Scenario: A stream whose engine breaks goes on at the same version
    When 24 clients stream on "chat" and the engine of each breaks off within event 4
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against the same over a caller's tries, when the engine that keeps the prompt is of another version.
  Scenario Outline: A client who resumes its stream at <where> gets the version that began it
    When 24 clients stream on "chat" and lose their connection after 2 events
    And all engines evict their prompts
    And <what happens>
    And each client resumes its stream at <where>
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

    Examples:
      | where          | what happens                                |
      | the same router | nothing else happens                       |
      | another router | nothing else happens                        |
      | another router | the router that served them is killed       |
      | a new router   | the router that served them is killed       |
      | the last router | the other routers are killed and replaced twice |

  # Guards against a second resume that names the first request, of which the router in between only heard.
  Scenario: A client who resumes its stream twice gets the version that began it
    When 24 clients stream on "chat" and lose their connection after 2 events
    And all engines evict their prompts
    And each client resumes at another router and loses its connection after 2 events
    And all engines evict their prompts
    And each client resumes its stream at a third router
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against a guess where no process knows the version any more.
  Scenario: A client who resumes its stream after all routers were replaced is refused at once
    When 8 clients stream on "chat" and lose their connection after 2 events
    And all routers are killed and replaced
    And each client resumes its stream at a new router
    Then no client holds events of two versions
    And each client was refused with 503 within 0.5 s
    And no engine was asked to run a resumed stream

  # Guards against a wait until the deadline for a version that does not come back.
  Scenario: A client who resumes a stream of a version that is gone is refused at once
    When 8 clients stream on "chat" and lose their connection after 2 events
    And the list says that all engines of "v1" are gone, a while ago
    And each client resumes its stream at another router
    Then no client holds events of two versions
    And each client of "v1" was refused with 503 within 0.5 s
    And each client of "v2" has 6 events, each once and in order

  # Guards against a whole answer of two versions where the stream's own version has no engine left.
  Scenario: A stream whose version has no other engine ends without its end
    Given the list says that "e" and "g" are gone, a while ago
    When 2 clients stream on "chat" and the engine of each breaks off for good within event 4
    Then no client holds events of two versions
    And each client has 3 events and no end

  # Guards against the end of a stream whose only engine has lost the connection and is still there.
  Scenario: A stream whose version has one engine goes on there
    Given the list says that "e" and "g" are gone, a while ago
    When 4 clients stream on "chat" and the engine of each breaks off within event 4
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against the end of a stream whose only engine is silent for a while.
  Scenario: A stream whose version has one engine waits for it
    Given the list says that "e" and "g" are gone, a while ago
    When 2 clients stream on "chat" and the engine of each pauses for 1.6 s after event 3
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against a stream that is resumed without naming the request that began it.
  Scenario: A client who does not name the request that began its stream is refused at once
    When 4 clients stream on "chat" and lose their connection after 2 events
    And each client resumes at another router without naming its first request
    Then each client was refused with 503 within 0.5 s
