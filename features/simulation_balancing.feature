Feature: Four routers in simulated time, one of which gets most new connections

  # Guards against a router that reads more than its link carries while most new connections come to it.
  Scenario Outline: A router that gets most new connections serves what it reads, seed <seed>
    When seed <seed> is simulated for 16 s, with uneven balancing
    Then clients and backends have seen no rule broken in the simulation

    Examples:
      | seed |
      | 1    |
      | 2    |
