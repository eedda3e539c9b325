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

  Scenario: One request's route, routers, backends and zones are told with how long each held it
    Given the logs of 68 routers with 20000 lines each, and these lines of a request
      """
      router-17 {"time":"2026-08-02T08:00:01.100","level":"info","channel":"generation","event":"placed","request":"9c41d07b","route":"digest","engines":["p1>d1"],"prompt_tokens":5200}
      router-17 {"time":"2026-08-02T08:00:02.000","level":"info","channel":"generation","event":"stream","request":"9c41d07b","engines":["p1>d1",">d2"],"placed_ms":3,"read_ms":110,"first_ms":1020,"gap_ms":60}
      router-17 {"time":"2026-08-02T08:00:02.000","level":"info","channel":"router","event":"request","request":"9c41d07b","route":"digest","outcome":"answered","status":200,"runs":2,"held_ms":1400,"target_ms":910,"gap_target_ms":300,"service":"summit-llm","is_late":true,"visits":[{"backend":"p1","zone":"hall-one","role":"prefill","from_ms":4,"held_ms":106,"outcome":"whole"},{"backend":"d1","zone":"hall-two","role":"decode","from_ms":110,"held_ms":800,"outcome":"backend_silent"},{"backend":"d2","zone":"hall-three","role":"decode","from_ms":911,"held_ms":489,"outcome":"whole"}]}
      router-40 {"time":"2026-08-02T08:00:05.000","level":"info","channel":"router","event":"request","request":"9c41d07b","route":"digest","outcome":"no_decode_room","status":503,"held_ms":1,"target_ms":910}
      """
    When an operator asks for the story of "9c41d07b" in their directory
    Then it is told within 5 s
    And the explanation says "router-17.log"
    And the explanation says "route digest, service summit-llm"
    And the explanation says "answered with 200 after 1400 ms (target 910 ms): LATE"
    And the explanation has the line "d1 hall-two decode 110 800 backend_silent"
    And the explanation says "first event 1020 ms"
    And the explanation says "router-40.log"
    And the explanation says "no_decode_room with 503 after 1 ms"

  Scenario: Logs that cannot be read are told in one line with the remedy
    When an operator asks for the story of "9c41d07b" in a directory that is not there
    Then the command ends with 2 and tells what to name
    When an operator asks for the story of "9c41d07b" in an empty directory
    Then the command ends with 2 and tells what to name

  Scenario: A request that no log names is told so
    Given the logs of 2 routers with 10 lines each, and these lines of a request
      """
      router-1 {"time":"2026-08-02T08:00:01.100","level":"info","channel":"router","event":"request","request":"other","route":"digest","outcome":"answered","status":200,"held_ms":4}
      router-1 a line with "9c41d07b" that is none of a router's
      """
    When an operator asks for the story of "9c41d07b" in their directory
    Then the command ends with 1 and tells how many files were searched

  Scenario: Commands that read logs import no modules of daemons
    Then the log commands import none of asyncio, cryptography, pynng, urllib3, yokedock.connection
