Feature: Properties of the pure parts, over generated cases

  Scenario Outline: <property>
    Then this holds for generated cases: <property>

    Examples:
      | property                                                     |
      | a signed bundle opens to what was signed                     |
      | an envelope with any altered byte is rejected or unchanged   |
      | one changed tenant moves at most one shard                   |
      | a store never goes back to an older version                  |
      | a home changes only for the keys of a replica that left      |
      | every gateway's subset holds each role and stays in its size |
      | the ladder's roles follow the share of demand one by one     |
      | a fresh key names the time it was made                       |
      | a key runs at most once whatever the order of calls          |
      | slots never promise more than there are                      |
      | room is held back for higher priorities, and only for them   |
      | work shorter than the urgent is not held back                |
      | no later reservation makes an earlier one late               |
      | promised times are those at which slots are free             |
      | every gateway learns all changes of a prefix cache           |
      | an answer has one gap fewer than tokens, joined or not       |
      | a resume takes what comes meanwhile                          |
      | a gap behind a resume asks for another                       |
      | unanswered reservations are refused as not run               |
      | attempts lost before a run are told as not run               |
      | every kind of refusal says when to come back                 |
      | a prefix's blocks are a prefix of the blocks                 |
      | joined parts carry the same tokens                           |

    Examples: the test run itself
      | property                                  |
      | features listen below the ephemeral ports |
