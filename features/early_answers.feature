Feature: What an engine says too early or wrongly is never taken for its answer

  # Guards against a part of an answer that is passed on as the whole one.
  Scenario Outline: A long upload is answered at once, and its connection ends: router, <framing>, <end>
    Given a plain backend that answers an upload with 200, <framing>, and a part, then a <end>
    When a client sends a body of 4 MB on "<route>" to its router
    Then the client gets no success

    Examples:
      | framing                | end        | route  |
      | without a length       | reset      | once   |
      | without a length       | reset      | repeat |
      | without a length       | close      | once   |
      | without a length       | half-close | once   |
      | in chunks              | reset      | once   |
      | with a length          | reset      | once   |
      | of HTTP/1.0            | reset      | once   |
      | of HTTP/1.0            | half-close | once   |

  Scenario Outline: A long upload is answered at once, and its connection ends: agent, <framing>, <end>
    Given a service that answers an upload with 200, <framing>, and a part, then a <end>
    When an agent calls it with a body of 4 MB
    Then the agent has lost the answer

    Examples:
      | framing          | end        |
      | without a length | reset      |
      | without a length | close      |
      | without a length | half-close |
      | in chunks        | reset      |
      | with a length    | reset      |
      | of HTTP/1.0      | reset      |

  # Guards against a status that is none and reaches a client.
  Scenario Outline: A status that is none, <status>: router
    Given backends of all kinds whose answers have the status "<status>"
    When a client sends a request to each of them through a router
    Then each gets an error of the router

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 0200   |
      | 20     |
      | 2_00   |
      | +200   |

  Scenario Outline: A status that is none, <status>: agent
    Given a service whose answers have the status "<status>"
    When an agent calls it, as a service and as an engine
    Then the agent has lost both answers

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 0200   |
      | 20     |
      | 2_00   |
      | +200   |

  # Guards against a limit on early answers that meets a sound one.
  Scenario: A whole answer that comes before the upload was read is passed on
    Given a plain backend that answers an upload with 200, whole, before it reads it
    When a client sends a body of 4 MB on "once" to its router
    Then the client gets its whole answer
