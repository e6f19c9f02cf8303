"""Decisions: pure functions and closures over the blackboard."""
