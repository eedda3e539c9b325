Feature: An answer that was cut off is never taken for a whole one

  # Guards against answers cut off in their head or their last chunk that are passed on as whole.
  Scenario Outline: A client of an agent, a gateway or an operator, <name>
    When the answer to the <name> is cut off after each of its bytes, in each framing
    Then no cut answer was taken for a whole one

    Examples:
      | name                      |
      | order to an engine        |
      | order without a result    |
      | report of an engine       |
      | call of a service         |
      | read of the configuration |
      | read of an unset key      |
      | machine list              |
      | status of a daemon        |
      | histograms of a gateway   |

  # Guards against bodies that end with their connection, and are whole because the router closed it.
  Scenario Outline: A body without a length whose connection the router gives up, <route>
    Given a plain backend "a"
    And a router that knows them as started
    And every backend's next fault is "ends with the connection, stops in the body"
    When a client sends a call on "<route>" and its backend starts anew under its identifier
    Then the client gets <status>, and no part of a body

    Examples:
      | route  | status |
      | once   | 502    |
      | repeat | 200    |

  # Guards against streams that are ended because the router closed their connection.
  Scenario: A stream without a length whose connection the router gives up
    Given decode engines "d", "e", "f" and "g"
    And a router that knows them as started
    And streams of all engines end with their connections
    When a client streams on "chat" and its engine holds it after event 2
    And that engine starts anew under its identifier
    Then the stream goes on within 0.3 s, each event once and in order

  # Guards against streams that are broken off and end for a caller of HTTP/1.0 as whole ones do.
  Scenario Outline: A caller without chunks can tell a stream that the router breaks off, <fault>
    Given a prefill engine "p"
    And a decode engine "d"
    And a router that knows them
    And every backend's next fault is "<fault>"
    When a caller of HTTP/1.0 streams on "talk"
    Then it gets <count> events, and its connection is <end>

    Examples:
      | fault                | count | end    |
      | break within event 3 | 2     | reset  |
      | none                 | 6     | closed |

  # Guards against bodies of an unknown length that are whole wherever the connection ends.
  Scenario Outline: A head that does not say validly where its body ends, <line>
    When a service answers with the header line "<line>" and a part of its body
    Then the agent takes it for no answer

    Examples:
      | line                          |
      | Content-Length: 20x           |
      | Content-Length: -1            |
      | Content-Length:               |
      | Content-Length : 20           |
      | no header                     |
      | Transfer-Encoding: chunked;q  |
      | Transfer-Encoding: compressed |

  # Guards against a watch of the configuration that ends for good at an answer of no use.
  Scenario Outline: A revision that is no number is an error of the service, <revision>
    When the configuration service answers with the revision "<revision>"
    Then it counts as unavailable

    Examples:
      | revision             |
      | x                    |
      | -1                   |
      | 99999999999999999999 |
