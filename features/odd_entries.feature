Feature: One odd entry among those of the engines costs only itself

  Background:
    Given a plain backend "a"
    And a plain backend "b"
    And a router that knows them
    And a second router whose source is silent

  # Guards against an entry with an integer over 64 bits, which could not be encoded for the other
  # routers: they heard of no later change either.
  Scenario Outline: A number too large keeps no later change from other routers: <field>
    When the store of the first router tells of an entry whose <field> is <value>
    And the first router's source tells of version 7
    Then the second router has version 7
    And 12 calls at each router get 200

    Examples:
      | field     | value                 |
      | revision  | 18446744073709551616  |
      | revision  | -9223372036854775809  |
      | born      | 18446744073709551616  |
      | born      | 10000000000000000000000000000000 |

  # Guards against a backend whose name no header can carry: calls placed on it got 502.
  Scenario Outline: A name that no header can carry names no backend: <name>
    When the store of the first router tells of an entry whose name is <name>
    And the first router's source tells of version 7
    Then the second router has version 7
    And 12 calls at each router get 200

    Examples:
      | name                  |
      | "odd\r\nX-Other: 1" |
      | "odd\u0000"          |
      | "odd\n"              |
      | " odd"                |
      | "odd "                |
      | ""                    |

  # Guards against an address that no connection can be made to: calls placed on it got 503.
  Scenario Outline: An address told by another router that nothing can be called at: <address>
    When the second router's peer tells of an entry whose address is <address>, in <way>
    Then 12 calls at the second router get 200

    Examples:
      | address          | way        |
      | 127.0.0.1:65536  | a datagram |
      | 127.0.0.1:65536  | its state  |
      | 127.0.0.1:0      | its state  |
      | 127.0.0.1:x      | its state  |
      | 127.0.0.1        | its state  |
      | x..y:80          | its state  |
