"""Decision logic: pure functions and closures over the blackboard."""
