@deployment
Feature: The operators' interface

  Scenario: Settings with several errors get every error at once, each with its remedy
    When settings with four errors are checked
    Then the command fails and names each error with its remedy

  Scenario: Beyond loopback a deployment key is required
    When settings that listen beyond loopback without a key are checked
    Then the command fails and asks for a key

  Scenario: A bundle's source with several errors gets every error at once
    When a bundle's source with five errors is checked
    Then the command fails and names each of the five

  Scenario: A signed bundle can be shown and compared
    When a version with a changed class is signed
    Then it can be shown, and the difference names the changed option

  Scenario: A bundle cannot be signed below the version in force
    When a bundle is signed with the version in force again
    Then the command fails and asks for a higher version

  Scenario: Status and histograms of several nodes
    Given 3 answers of 10 tokens through each gateway
    Then status shows both gateways ready and every agent connected
    And the histograms count 6 first tokens and 54 gaps between tokens

  Scenario: A planned stop of a gateway cuts no answer and refuses new ones
    Given a stream of 200 tokens through gateway-1 that has begun
    When gateway-1 gets a planned stop
    Then a new request to gateway-1 is refused with a time to come back
    And the stream ends whole and gateway-1 exits with 0

  Scenario: A planned stop of a decode agent cuts no answer and gets no new work
    Given a stream of 200 tokens through gateway-1 that has begun
    When a planned stop is asked of the agent that decodes
    Then the stream ends whole and the agent exits with 0

  Scenario: A second agent cannot run beside the first
    When a second agent is started with the settings of decode-1
    Then it exits with an error that names the taken address

  Scenario: A peer without the deployment's key is not listened to
    When a stranger without the key asks decode-1 for a slot
    Then the stranger gets no answer and decode-1 holds nothing

  Scenario: A replayed packet ends the connection and is not acted on
    When a packet of a good connection is sent twice to decode-1
    Then the connection is closed after the first
