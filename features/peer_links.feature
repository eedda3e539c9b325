Feature: Links between processes lose nothing while they stand

  Scenario Outline: A burst of frames arrives whole and in order, faster than it can be read
    Given a link between two processes, the <reader> reads slowly
    When the <sender> sends 2000 frames at once
    Then the <reader> got 2000 frames in order

    Examples:
      | sender         | reader         |
      | dialling end   | listening end  |
      | listening end  | dialling end   |

  Scenario: A peer that reads nothing any more is given up after a bounded backlog
    Given a link between two processes, the dialling end reads nothing
    When the listening end sends frames until it is told that the link is of no use
    Then it had sent 1026 frames

  Scenario: A peer that was unreachable for long is redialled early while a request waits
    Given an unreachable peer has been dialled for 3.3 s
    When a request waits for the peer for 1 s
    Then the peer was redialled within 0.6 s, and 6 times at most
