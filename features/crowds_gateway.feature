@deployment @small-machines
Feature: Gateways and agents outlive clients that send or read too slowly, many at a time

  # Guards against a process that is ended for its memory, with all requests that it serves.
  Scenario Outline: At a gateway, <crowd>
    Given "gateway-1" has started anew on a small machine
    When a crowd comes to its callers' address: <crowd>
    Then "gateway-1" has stayed within its memory and descriptors
    And an ordinary call through it is answered

    Examples:
      | crowd                                              |
      | 60 bodies of 4 MB, whole but for one byte          |
      | 60 bodies of 4 MB in chunks, without their end     |
      | 60 bodies of 4 MB, left and sent again 5 times     |
      | 250 heads of 250 KB without their end              |
      | 250 answers of 900 KB that nobody reads            |
      | 400 connections that bring nothing                 |

  # Guards against the same at the addresses that are not for callers.
  Scenario Outline: At the admin address of <process>, <crowd>
    Given "<process>" has started anew on a small machine
    When a crowd comes to its admin address: <crowd>
    Then "<process>" has stayed within its memory and descriptors
    And an ordinary call through it is answered
    And its admin address answers

    Examples:
      | process   | crowd                                      |
      | gateway-1 | 60 bodies of 4 MB, whole but for one byte  |
      | gateway-1 | 400 connections that bring nothing         |
      | prices-1  | 60 bodies of 4 MB, whole but for one byte  |
      | prices-1  | 400 connections that bring nothing         |

  # Guards against what is taken from peers before they have shown the deployment's key.
  Scenario Outline: At the peers' address of an agent, <crowd>
    Given "prices-1" has started anew on a small machine
    When a crowd comes to its peers' address: <crowd>
    Then "prices-1" has stayed within its memory and descriptors
    And an ordinary call through it is answered

    Examples:
      | crowd                                             |
      | 60 packets of 15 MB, whole but for one byte       |
      | 400 connections that bring nothing                |
      | 400 connections, each with a greeting             |

  # Guards against limits that meet a client inside them.
  Scenario: The largest call is served in calm
    Given "gateway-1" has started anew on a small machine
    When 6 calls of 900 KB are sent through it one after another
    And 8 calls of 900 KB are sent through it at once
    Then all those calls were answered
    And "gateway-1" has stayed within its memory and descriptors
