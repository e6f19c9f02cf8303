Feature: Operators who race each other holding equal numbers
  One change wins, nobody's order is carried out twice, and a lost answer
  can be asked for again.

  Scenario: Two drafts against the same revision
    Given mika and goro each submitted a draft against revision 0
    When goro accepts his draft
    And mika accepts her draft
    Then mika is told that revision 1 by goro was accepted first
    And revision 1 is in force

  Scenario: An order is sent again after its answer was lost
    Given mika and goro each submitted a draft against revision 0
    When goro accepts his draft
    And goro accepts his draft
    Then both answers name revision 1
    And revision 1 is in force
