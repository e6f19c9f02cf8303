Feature: Concurrent changes by operators against the same revision
  One change is accepted, no change is applied twice, and a change whose
  result was lost can be sent again.

  Scenario: Two drafts against the same revision
    Given mika and goro each submitted a draft against revision 0
    When goro accepts his draft
    And mika accepts her draft
    Then the refusal names revision 1 by goro as accepted first
    And revision 1 is in force

  Scenario: A change is sent again after its result was lost
    Given mika and goro each submitted a draft against revision 0
    When goro accepts his draft
    And goro accepts his draft
    Then both results name revision 1
    And revision 1 is in force
