Feature: An answer is resumed after its entry instance is lost

  Scenario: The entry instance dies in the middle of an answer
    Given a caller has received the first 40 events of an answer
    When the entry instance of the answer dies
    And the caller sends the request again to another instance
    Then the caller has received the complete answer of 160 tokens
    And no token is received twice

  Scenario: The entry instance and the engine are lost together
    Given a caller has received the first 40 events of an answer
    When the engine of the answer is reset
    And the entry instance of the answer dies
    And the caller sends the request again to another instance
    Then the caller has received the complete answer of 160 tokens
    And no token is received twice

  Scenario: The entry instance and the journal of the answer die together
    Given a caller has received the first 40 events of an answer
    When the journal replica of the answer dies
    And the entry instance of the answer dies
    And the caller sends the request again to another instance
    Then the caller gets an error that the answer is lost
