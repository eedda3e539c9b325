Feature: A router that has missed a change of the list mixes no software versions

  Background:
    Given version "v1" runs on prefill engine "p"
    And version "v1" runs on decode engine "d"
    And version "v1" runs on decode engine "e"
    And a fleet of 3 routers

  # Guards against a router that takes its own list for complete because it has heard of no change.
  Scenario Outline: A router that is cut off <how> resumes no stream at another version
    Given the last router is cut off from its source and the other routers <since>
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 <stays>
    When 10 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

    Examples:
      | how                     | since         | stays  |
      | at that moment          | at once       | leaves |
      | while both versions run | at once       | stays  |
      | for 2 s                 | 2.0 s earlier | leaves |
      | for 4 s                 | 4.0 s earlier | leaves |

  # Guards against the same where the caller does not name the request that began its stream.
  Scenario: A router that is cut off resumes no stream without a name at another version
    Given the last router is cut off from its source and the other routers at once
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 leaves
    When 10 clients stream on "chat" and lose their connection after 2 events
    And each client resumes at the last router without naming its first request
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

  # Guards against the same where an engine of the old version has had the prompt in an earlier request.
  Scenario: A router that is cut off trusts no prompt that the old version has run too
    Given all clients have streamed on "chat" before
    And the last router is cut off from its source and the other routers 4.0 s earlier
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 leaves
    When 10 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

  # Guards against a router that goes on anywhere because its list, of before, states no versions.
  Scenario: A router that is cut off while the first versions are stated resumes no stream elsewhere
    Given the engines stated no version before
    And the last router is cut off from its source and the other routers at once
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 leaves
    When 10 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

  # Guards against a router that takes calls up before what waits in its sockets.
  Scenario: A router that has not read the changes yet waits for them
    Given the last router is cut off from the other routers
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 leaves
    And the last router reads these changes 0.1 s after it is first asked for its position
    When 10 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

  # Guards against a list that names one version after a gap in which there was another one.
  Scenario: A router that missed a version that came and went resumes no stream of it
    Given the last router is cut off from the other routers
    And version "v2" joins on engines "q", "f" and "g" at the other routers, and v1 stays
    When 10 clients stream on "chat" and lose their connection after 2 events
    And the last router reads the whole list after "q", "f" and "g" are gone
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client of "v2" was refused with 503 within 0.7 s

  # Guards against streams that are refused although their version is on record, in an outage of the source.
  Scenario: Streams go on at another router while no router reaches the source
    Given version "v2" joins on engines "q", "f" and "g" at all routers, and v1 stays
    And no router reaches its source
    When 12 clients stream on "chat" and lose their connection after 2 events
    And each client resumes its stream at the last router
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

  # Guards against streams that are refused although only one version has ever been listed.
  Scenario: Streams go on without a record where the source confirms the only version
    When 12 clients stream on "chat" and lose their connection after 2 events
    And all records of streams are lost
    And each client resumes its stream at the last router
    Then each client has 6 events, each once and in order
