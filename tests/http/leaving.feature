Feature: A leaving engine gets no new work

  Scenario Outline: What the engine runs goes on, new work goes elsewhere
    Given an answer that runs on an engine
    When that engine is leaving and <manner>
    And its report was read
    Then new answers run on other engines
    And the running answer ends whole on its engine

    Examples:
      | manner            |
      | only reports it   |
      | refuses new work  |
