"""The operator questionnaire: questions, checks and generation."""
