Feature: Four routers in simulated time, one of which is out of step as a software version joins

  # Guards against streams that a router which has not heard of their version resumes at another one, and against refusals of those that it could have resumed.
  Scenario Outline: Streams keep their software version beside a router out of step, seed <seed>
    When seed <seed> is simulated for <length> s, with version rollouts
    Then clients and backends have seen no rule broken in the simulation
    And at least <resumed> streams were resumed at routers out of step, <judged> were judged

    Examples:
      | seed | length | resumed | judged |
      | 1    | 20     | 30      | 7      |
      | 6    | 14     | 20      | 5      |
      | 4    | 14     | 20      | 10     |

  # Guards against streams of engines that state no version which a router moves to engines that state one.
  Scenario: Streams of engines without a version stay with them as the first version joins
    When seed 3 is simulated for 12 s, with version rollouts
    Then clients and backends have seen no rule broken in the simulation
