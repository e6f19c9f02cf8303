"""Replicated log: sans-I/O core, disk storage and snapshots."""
