"""Replicated log (Raft): sans-I/O core, disk storage and snapshots."""
