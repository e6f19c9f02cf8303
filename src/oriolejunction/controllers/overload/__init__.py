"""Decisions about requests that exceed the capacity of the engines."""
