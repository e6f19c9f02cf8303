Feature: A leaving engine gets no new work

  Scenario Outline: The running answer is completed, others get new work
    Given an answer that runs on an engine
    When that engine is leaving and <manner>
    And its load report was read
    Then new answers run on other engines
    And the running answer is completed on its engine

    Examples:
      | manner            |
      | only reports it   |
      | refuses new work  |
