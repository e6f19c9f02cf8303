"""The operators' questionnaire, from which configurations are built."""
