Feature: An engine is lost in the middle of an answer

  Scenario Outline: The answer is completed on another engine
    Given a deployment that favours <measure>
    And an answer of 90 tokens is being streamed
    When its engine fails with "<fault>" after 20 tokens
    Then the caller receives each of the 90 tokens once
    And one attempt was lost with the cause "<cause>"
    And the second engine was given the tokens already delivered

    Examples:
      | measure   | fault    | cause        |
      | latency   | die      | silent       |
      | resources | die      | silent       |
      | resources | reset    | disconnected |
      | latency   | skip     | gap          |
      | latency   | cross    | foreign      |
      | resources | truncate | ended_early  |

  Scenario: The stream of a living engine is resumed
    Given a deployment that favours latency
    And an answer of 90 tokens is being streamed
    When its engine fails with "drop" after 20 tokens
    Then the caller receives each of the 90 tokens once
    And no attempt was lost
    And 90 tokens were computed

  Scenario Outline: The only engine pauses for longer than its limit
    Given a deployment of one engine that favours <measure>
    And an answer of 90 tokens is being streamed
    When its engine pauses for 2500 ms after 20 tokens
    Then the caller receives each of the 90 tokens once
    And no attempt was lost
    And the work was sent once

    Examples:
      | measure   |
      | latency   |
      | resources |
