"""Benches: load generation and fault injection with checked results."""
