Feature: Streams outlive all routers where origin stores run beside the engines

  Background:
    Given version "v1" runs on prefill engine "p"
    And version "v1" runs on decode engine "d"
    And version "v1" runs on decode engine "e"
    And version "v2" runs on decode engine "f"
    And version "v2" runs on decode engine "g"
    And an origin store beside the engines

  # Guards against streams that are refused, or mixed, after all routers were lost at once.
  Scenario Outline: Streams of <count> versions go on after all routers are lost at once
    Given version "<third>" runs on decode engine "h"
    And version "<third>" runs on decode engine "i"
    And a fleet of 3 routers
    When 24 clients stream on "chat" and lose their connection after 2 events
    And all engines evict their prompts
    And all routers are killed and replaced
    And each client resumes its stream at a new router
    Then no client holds events of two versions
    And each client has 6 events, each once and in order

    Examples:
      | count | third |
      | two   | v2    |
      | three | v3    |

  # Guards against a wait for a store that does not respond.
  Scenario: A client who resumes its stream is refused at once if the stores are lost as well
    Given a fleet of 3 routers
    When 8 clients stream on "chat" and lose their connection after 2 events
    And all routers are killed and replaced
    And the origin store is lost
    And each client resumes its stream at a new router
    Then no client holds events of two versions
    And each client was refused with 503 within 0.5 s
    And no engine was asked to run a resumed stream

  # Guards against a process that ends at SIGHUP, at a datagram that it cannot decode, or badly at SIGTERM.
  Scenario: The origin store as a process keeps its records until it is stopped
    Given an origin store process
    When a router records version 7 of stream 5 there
    And it gets data that it does not understand, and SIGHUP
    Then it reports version 7 of stream 5
    And it reports no version of stream 6
    And it ends with 0 at SIGTERM

  # Guards against records that are gone with the machines of another version, or with one machine.
  Scenario: A record is kept beside two engines of its version, and found whatever else is listed
    Then for 200 streams the record is found while one of its two stores is listed
    And for 200 streams the record is found after its version has grown from 2 engines to 8
    And for 200 streams the record follows its version from 1 engines to 60 and on to 30 others
    And no store of it is at a leaving engine while others of the version stay
    And for 200 streams the record is found while all but 2 of 60 engines are leaving

  # Guards against streams refused because a busy router reads one response in each turn of its loop.
  Scenario: A busy router finds records though the responses of many stores come at once
    Given 24 origin stores, 2 of which know version 7 of stream 5
    When a router whose other work takes 200 ms a turn looks stream 5 up 10 times at once
    Then each lookup found version 7

  # Guards against streams that are mixed because a response to another lookup is taken for this one's.
  Scenario Outline: A response that belongs to another lookup names no version
    Given an origin store that does not respond
    When a router looks a stream up and gets a response from <sender> with <number>
    Then the lookup found no version

    Examples:
      | sender        | number                                |
      | the store     | the number of another process's first |
      | another host  | its own number                        |
