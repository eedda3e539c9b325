Feature: Four routers in simulated time that are all killed at the same moment

  # Guards against streams that are refused because the version that began them was known to routers alone.
  Scenario: Streams go on at their software version after the loss of all routers
    When seed 2 is simulated for 12 s, with two software versions and all routers killed
    Then clients and backends have seen no rule broken in the simulation
    And at least 10 streams were judged that were resumed after the loss of all routers
