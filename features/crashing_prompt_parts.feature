Feature: A prompt part that crashes the engines which write an answer on it is kept from them

  Scenario Outline: Requests that share only a crashing part, the <place> of the prompt, are kept from engines
    Given 4 prefill engines and 8 decode engines
    And four routers that hear each other
    And engines crash when they write an answer on "bad", and come back after 0.5 s
    When for 4 s harmful requests "<harmful>" come at the routers in turn, no two alike, and beside each the harmless "<harmless>"
    Then at most 8 backends have ended
    And at most 3 harmful requests reached engines later than 1 s after the fifth end
    And all harmless requests that came 0.5 s after the last end or later were served whole
    And no harmless request was refused as harmful
    And the last harmful requests got 503 with a time to come back within 0.2 s

    Examples:
      | place  | harmful            | harmless                         |
      | second | first,bad,own      | first,own                        |
      | third  | first,middle,bad,own | first,middle,own first,own     |
      | middle | first,bad,middle,own | first,middle,own first,own     |
      | first  | bad,middle,own     | first,middle,own                 |

  Scenario: Two crashing parts at the same time are both kept from engines
    Given 4 prefill engines and 8 decode engines
    And four routers that hear each other
    And engines crash when they write an answer on "bad" or "worse", and come back after 0.5 s
    When for 4 s harmful requests "first,bad,own first,worse,own" come at the routers in turn, no two alike, and beside each the harmless "first,own"
    Then at most 16 backends have ended
    And all harmless requests that came 0.5 s after the last end or later were served whole
    And no harmless request was refused as harmful

  Scenario: Routers that have all started anew learn it again with few crashes
    Given 4 prefill engines and 8 decode engines
    And four routers that hear each other
    And engines crash when they write an answer on "bad", and come back after 0.5 s
    When for 2 s harmful requests "first,bad,own" come at the routers in turn, no two alike, and beside each the harmless "first,own"
    And all routers are killed and start anew
    And for 4 s harmful requests "first,bad,own" come at the routers in turn, no two alike, and beside each the harmless "first,own"
    Then at most 8 backends have ended since the routers started anew
    And at most 3 harmful requests reached engines later than 1 s after the routers were in touch again
    And all harmless requests that came 0.5 s after the last end or later were served whole
    And no harmless request was refused as harmful

  Scenario: A router that starts anew hears which prompt parts crash engines
    Given 4 prefill engines and 8 decode engines
    And four routers that hear each other
    And engines crash when they write an answer on "bad", and come back after 0.5 s
    When for 2 s harmful requests "first,bad,own" come at the routers in turn, no two alike, and beside each the harmless "first,own"
    And the first router is killed and starts anew
    And for 1 s harmful requests "first,bad,own" come at the first router, no two alike, and beside each the harmless "first,own"
    Then no harmful request has reached an engine since that router was in touch
    And no harmless request was refused as harmful

  Scenario: A part under which engines end streams without framing is kept from them as well
    Given 4 prefill engines and 8 decode engines
    And four routers that hear each other
    And engines crash when they write an answer on "bad", and come back after 0.5 s
    And answers of engines have neither a length nor chunks
    When for 4 s harmful requests "first,bad,own" come at the routers in turn, no two alike, and beside each the harmless "first,own"
    Then at most 8 backends have ended
    And all harmless requests that came 0.5 s after the last end or later were served whole
    And no harmless request was refused as harmful
    And the last harmful requests got 503 with a time to come back within 0.2 s
