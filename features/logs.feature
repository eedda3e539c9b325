Feature: An operator learns from the logs where requests lost their time or their answer

  Scenario: Each late or unserved request is told with its cause, by window and route
    Given these lines of two routers' logs
      """
      1.0 edge-1 {"time":"2026-08-02T08:00:01.000","level":"info","channel":"router","event":"request","request":"a","route":"chat","outcome":"answered","status":200,"runs":1,"held_ms":900,"target_ms":900,"gap_target_ms":300}
      {"time":"2026-08-02T08:00:01.000","level":"info","channel":"generation","event":"stream","request":"a","engines":["p>d"],"placed_ms":0,"read_ms":100,"first_ms":130,"gap_ms":60}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"router","event":"request","request":"b","route":"chat","outcome":"answered","status":200,"runs":1,"held_ms":1500,"target_ms":900,"gap_target_ms":300}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"generation","event":"stream","request":"b","engines":["p>d"],"placed_ms":600,"read_ms":900,"first_ms":930,"gap_ms":60}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"queue","event":"room","request":"b","predicted_ms":300,"waited_ms":600}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"router","event":"request","request":"c","route":"chat","outcome":"answered","status":200,"runs":2,"held_ms":1900,"target_ms":900,"gap_target_ms":300}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"generation","event":"stream","request":"c","engines":["p>d",">e"],"placed_ms":0,"read_ms":100,"first_ms":130,"gap_ms":700}
      {"time":"2026-08-02T08:00:02.000","level":"info","channel":"router","event":"request","request":"d","route":"pay","outcome":"answered","status":500,"runs":1,"held_ms":100,"target_ms":400}
      {"time":"2026-08-02T08:00:04.000","level":"info","channel":"generation","event":"placed","request":"e","route":"chat","engines":["p>d"]}
      {"time":"2026-08-02T08:00:04.000","level":"info","channel":"queue","event":"no room","request":"f","predicted_ms":9000,"waited_ms":0}
      {"time":"2026-08-02T08:00:04.000","level":"info","channel":"router","event":"request","request":"f","route":"chat","outcome":"no_decode_room","status":503,"held_ms":1,"target_ms":900}
      {"time":"2026-08-02T08:00:04.000","level":"info","channel":"router","event":"request","request":"g","route":"pay","outcome":"answered","status":200,"runs":1,"held_ms":900,"target_ms":400}
      not a line of a router
      """
    When an operator asks to explain them
    Then the explanation has the row "0 chat 3 1 2 0" with the cause "waited for decode room 1"
    And the explanation has the row "0 chat 3 1 2 0" with the cause "engine broken 1"
    And the explanation has the row "0 pay 1 0 0 1" with the cause "engine's own error 1"
    And the explanation has the row "2 chat 2 0 0 2" with the cause "router gone 1"
    And the explanation has the row "2 chat 2 0 0 2" with the cause "refused 1"
    And the explanation has the row "2 pay 1 0 1 0" with the cause "slow backend 1"
    And the explanation says "predicted 300 ms, waited 600 ms"
    And the explanation says "refused on a prediction: 1; waited and never served: 0"
    And the explanation says "1 lines are none of a router's"
