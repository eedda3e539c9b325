Feature: Four routers in simulated time, in runs that depend on the seed alone

  Scenario Outline: Properties of the simulation
    Then this holds for generated cases: <property>

    Examples: processes and network
      | property                                              |
      | bytes arrive in order                                 |
      | a frozen process handles deferred events on resume    |
      | a killed process closes its sockets and stops         |
      | exiting with unread bytes resets connections          |
      | a link cut one way delays streams and loses datagrams |
      | a connection without acknowledgements times out       |
      | a full receive buffer drops new datagrams             |

  Scenario: The same seed gives the same history, also under processor load
    When seed 26 is simulated for 4 s, and again under processor load
    Then both runs have the same digest
    And a run with seed 27 has a different digest

  Scenario Outline: A simulated soak breaks no rule, seed <seed>
    When seed <seed> is simulated for 10 s
    Then clients and backends have seen no rule broken in the simulation

    Examples:
      | seed |
      | 22   |
      | 26   |

  # Guards against requests and whole answers that wait in the sockets of a router as it stands still.
  Scenario Outline: Routers that stand still for moments lose nothing, seed <seed>
    When seed <seed> is simulated for 20 s, and each router stands still for <length> s in every <period> s, first at <first> s
    Then clients and backends have seen no rule broken in the simulation

    Examples:
      | seed | length | period | first |
      | 222  | 1.9    | 7      | 0.3   |
      | 3004 | 0.7    | 5      | 0.4   |
      | 3022 | 2.1    | 5      | 0.2   |

  # Guards against streams that go on at another software version than the one that began them.
  Scenario Outline: Resumed streams go on at their software version, seed <seed>
    When seed <seed> is simulated for <seconds> s with engines of two software versions
    Then clients and backends have seen no rule broken in the simulation
    And at least 12 streams were resumed

    Examples:
      | seed | seconds |
      | 1    | 20      |
      | 2    | 12      |

  # Guards against prompt parts that crash engine after engine, and harmless prompts refused for them.
  Scenario Outline: Prompt parts that crash engines are kept from them, seed <seed>
    When seed <seed> is simulated for 12 s with prompt parts that crash engines
    Then clients and backends have seen no rule broken in the simulation
    And no harmless request was refused as one that crashes engines

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 6    |
      | 12   |

  # Guards against requests that a stopping router takes and loses, and against answers given up for a silence.
  Scenario Outline: Stops in series and silent backends lose nothing, seed <seed> with <what>
    When seed <seed> is simulated for <seconds> s, with <what>
    Then clients and backends have seen no rule broken in the simulation

    Examples:
      | seed | seconds | what                             |
      | 1    | 12      | stops in turn                    |
      | 2    | 8       | silent moments                   |
      | 3    | 12      | stops in turn and silent moments |
      | 1    | 8       | endless bytes                    |
