Feature: A router outlives clients that send or read too slowly, many at a time

  # Guards against a process that is ended for its memory, with all requests that it serves.
  Scenario Outline: Bodies of legal size, <crowd>
    Given a router process that may use 96 MiB and 2600 descriptors
    When a crowd comes to it: <crowd>
    Then the router has stayed within its memory and descriptors
    And an ordinary request to it is answered
    And no refused request of the crowd has arrived at a backend

    Examples:
      | crowd                                                    |
      | 60 bodies of 4 MB, whole but for one byte                |
      | 60 bodies of 4 MB in chunks, without their end           |
      | 60 whole bodies of 4 MB at a busy backend                |
      | 60 bodies of 4 MB, left and sent again 5 times           |
      | 300 requests at work, each with 260 KB of the next one   |

  # Guards against the same by heads and by connections that bring nothing.
  Scenario Outline: Connections, <crowd>
    Given a router process that may use <memory> MiB and <descriptors> descriptors
    When a crowd comes to it: <crowd>
    Then the router has stayed within its memory and descriptors
    And an ordinary request to it is answered

    Examples:
      | crowd                                  | memory | descriptors |
      | 2000 heads of 15 KB without their end  | 64     | 2600        |
      | 400 connections that bring nothing     | 96     | 300         |

  # Guards against answers that leave the bound on memory before their callers have read them.
  Scenario Outline: Answers, <crowd>
    Given a router process that may use 96 MiB and 2600 descriptors
    When a crowd comes to it: <crowd>
    Then the router has stayed within its memory and descriptors
    And an ordinary request to it is answered

    Examples:
      | crowd                                             |
      | 40 answers of 12 MB that nobody reads             |
      | 60 answers of 8 MB, read with 4 KB/s              |
      | 300 streams of 8 MB that nobody reads             |

  # Guards against the same at the addresses that are not for callers.
  Scenario Outline: Other addresses, <crowd>
    Given a router process that may use 96 MiB and <descriptors> descriptors
    When a crowd comes to it: <crowd>
    Then the router has stayed within its memory and descriptors
    And an ordinary request to it is answered
    And its readiness and its metrics are told

    Examples:
      | crowd                                                             | descriptors |
      | 60 bodies of 4 MB at the readiness address                        | 2600        |
      | 60 bodies of 4 MB at the fleet address                            | 2600        |
      | 300 times 500 KB of requests at the fleet address, nothing read   | 2600        |
      | 400 connections that bring nothing to the readiness address       | 300         |
      | 400 connections that bring nothing to the fleet address           | 300         |

  # Guards against limits that meet a client inside them.
  Scenario: The largest request and the largest answer are served in calm
    Given a router process that may use 96 MiB and 300 descriptors
    When 6 bodies of 4 MB are sent to it one after another
    And 3 bodies of 4 MB are sent to it at once
    And an answer of 16 MB is read with 2 MB/s
    Then all of them were whole
    And the router has stayed within its memory and descriptors

  # Guards against a crowd that holds all room for large requests for good.
  Scenario: A request of the largest size is answered beside a crowd that stops short of the end
    Given a router process that may use 96 MiB and 2600 descriptors
    When a crowd comes to it: 60 bodies of 4 MB, whole but for one byte
    Then a request of the largest size is answered
    And the router has stayed within its memory and descriptors

  # Guards against a stop that a crowd turns into a kill.
  Scenario: A planned stop ends in order beside a crowd that reads nothing
    Given a router process that may use 96 MiB and 2600 descriptors
    When a crowd comes to it: 40 answers of 12 MB that nobody reads
    And it is stopped by a signal
    Then it has ended in order, within its memory and descriptors
