Feature: A backend that sends bytes without end costs only its own requests

  # Guards against calls that are held for as long as bytes of a body arrive.
  Scenario Outline: A call that may be repeated is answered elsewhere, <kind>, <pace>
    When the first backend of a call on "repeat" sends <kind> bytes without end, <pace>
    Then another backend answers before the deadline

    Examples:
      | kind       | pace          |
      | head       | slowly        |
      | body       | slowly        |
      | error body | slowly        |
      | head       | at full speed |
      | body       | at full speed |
      | error body | at full speed |

  # Guards against calls that outlast their deadline while bytes of a body arrive.
  Scenario Outline: A call that may run once has its answer by the deadline, <kind>, <pace>
    When the first backend of a call on "once" sends <kind> bytes without end, <pace>
    Then the caller has an error when the deadline is over

    Examples:
      | kind | pace          |
      | head | slowly        |
      | body | slowly        |
      | head | at full speed |
      | body | at full speed |

  # Guards against streams that wait for an engine whose bytes bring their caller nothing.
  Scenario Outline: A stream goes on at another engine, <kind>, <pace>
    When the first decode engine of a stream on "chat" sends <kind> bytes without end, <pace>
    Then another backend answers before the deadline

    Examples:
      | kind                         | pace          |
      | head                         | slowly        |
      | error body                   | slowly        |
      | stream                       | slowly        |
      | stream after its first event | slowly        |
      | head                         | at full speed |
      | error body                   | at full speed |
      | stream                       | at full speed |
      | stream after its first event | at full speed |

  # Guards against streams given up at half of their time although nothing else is possible.
  Scenario: A stream that cannot move waits for its engine through comments
    Given time and network are simulated with the seed "1"
    And a decode engine "d"
    And a router that knows them
    When a client with 3 s streams on "talk", and its engine sends comments for 2.5 s first
    Then the client gets 6 events, each once and in order, and a whole end

  # Guards against streams that wait until their deadline for the response to a prefill.
  Scenario Outline: The prompt is read at another engine, <kind>, <pace>
    When the first prefill of a stream on "chat" is answered with <kind> bytes without end, <pace>
    Then another backend answers before the deadline

    Examples:
      | kind       | pace          |
      | head       | slowly        |
      | body       | slowly        |
      | error body | slowly        |
      | head       | at full speed |
      | body       | at full speed |
      | error body | at full speed |

  # Guards against a process that is killed for its memory while backends send large bodies.
  Scenario Outline: Many bodies without end at once take little memory, <kind>
    When <count> requests on "<route>" at once get <kind> bytes without end at full speed
    Then the process has used less than 75 MB of memory for them

    Examples:
      | kind   | route | count |
      | body   | once  | 12    |
      | stream | talk  | 40    |

  # Guards against requests that wait while the router reads what nobody gains from.
  Scenario Outline: Others are answered soon beside bytes without end, <kind>
    When <count> requests on "<route>" at once get <kind> bytes without end at full speed
    Then a call to another service was answered within 0.4 s each time meanwhile

    Examples:
      | kind   | route | count |
      | head   | once  | 6     |
      | body   | once  | 6     |
      | stream | talk  | 6     |

  # Guards against processes and operators' commands that wait for good, or run out of memory, for
  # bytes of no use.
  Scenario Outline: A request of an agent or a gateway ends in time, <name>, <pace>
    When the <name> meets bytes without end, <pace>
    Then it ends with an error in time, and takes little memory

    Examples:
      | name                      | pace          |
      | order to an engine        | slowly        |
      | report of an engine       | slowly        |
      | steps of an engine        | slowly        |
      | call of a service         | slowly        |
      | read of the configuration | slowly        |
      | status of a daemon        | slowly        |
      | order to an engine        | at full speed |
      | report of an engine       | at full speed |
      | steps of an engine        | at full speed |
      | call of a service         | at full speed |
      | read of the configuration | at full speed |
      | status of a daemon        | at full speed |
