@deployment
Feature: Fault matrix of calls that may not be repeated

  Scenario Outline: <fault> at the step <step>: the call runs at most once
    Given a service call at the step <step>
    When the caller repeats the call through another gateway during the fault: <fault>
    And repeats it again after the fault
    Then the call ran at most once and every answer tells the truth

    Examples:
      | step      | fault                                |
      | admitted  | kill: gateway                        |
      | admitted  | kill: service agent                  |
      | admitted  | kill: service                        |
      | admitted  | freeze: gateway                      |
      | admitted  | freeze: service agent                |
      | admitted  | cut: gateway to service agent        |
      | admitted  | hold back: gateway to service agent  |
      | admitted  | cut: agent to service                |
      | admitted  | hold both: agent to service          |
      | admitted  | hold forth: agent to service         |
      | admitted  | hold back: agent to service          |
      | admitted  | caller: leaves                       |
      | admitted  | configuration: down                  |
      | admitted  | configuration: stale                 |
      | admitted  | older version: served                |
      | admitted  | roll: same content                   |
      | admitted  | roll: homes moved                    |
      | admitted  | leaving: service                     |
      | admitted  | planned stop: gateway                |
      | admitted  | planned stop: service agent          |
      | sent      | kill: gateway                        |
      | sent      | kill: service agent                  |
      | sent      | kill: service                        |
      | sent      | freeze: gateway                      |
      | sent      | freeze: service agent                |
      | sent      | cut: gateway to service agent        |
      | sent      | hold both: gateway to service agent  |
      | sent      | hold forth: gateway to service agent |
      | sent      | hold back: gateway to service agent  |
      | sent      | cut: agent to service                |
      | sent      | hold back: agent to service          |
      | sent      | caller: leaves                       |
      | sent      | configuration: down                  |
      | sent      | configuration: stale                 |
      | sent      | older version: served                |
      | sent      | roll: same content                   |
      | sent      | roll: homes moved                    |
      | sent      | leaving: service                     |
      | sent      | planned stop: gateway                |
      | sent      | planned stop: service agent          |
      | executing | kill: gateway                        |
      | executing | kill: service agent                  |
      | executing | kill: service                        |
      | executing | freeze: gateway                      |
      | executing | freeze: service agent                |
      | executing | cut: gateway to service agent        |
      | executing | hold both: gateway to service agent  |
      | executing | hold forth: gateway to service agent |
      | executing | hold back: gateway to service agent  |
      | executing | cut: agent to service                |
      | executing | hold both: agent to service          |
      | executing | hold forth: agent to service         |
      | executing | hold back: agent to service          |
      | executing | caller: leaves                       |
      | executing | configuration: down                  |
      | executing | configuration: stale                 |
      | executing | older version: served                |
      | executing | roll: same content                   |
      | executing | roll: homes moved                    |
      | executing | leaving: service                     |
      | executing | planned stop: gateway                |
      | executing | planned stop: service agent          |
      | executed  | kill: gateway                        |
      | executed  | kill: service agent                  |
      | executed  | kill: service                        |
      | executed  | freeze: gateway                      |
      | executed  | freeze: service agent                |
      | executed  | cut: gateway to service agent        |
      | executed  | hold both: gateway to service agent  |
      | executed  | hold forth: gateway to service agent |
      | executed  | hold back: gateway to service agent  |
      | executed  | cut: agent to service                |
      | executed  | hold both: agent to service          |
      | executed  | hold forth: agent to service         |
      | executed  | hold back: agent to service          |
      | executed  | caller: leaves                       |
      | executed  | configuration: down                  |
      | executed  | configuration: stale                 |
      | executed  | older version: served                |
      | executed  | roll: same content                   |
      | executed  | roll: homes moved                    |
      | executed  | leaving: service                     |
      | executed  | planned stop: gateway                |
      | executed  | planned stop: service agent          |
