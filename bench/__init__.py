"""Benches that need real processes; not shipped."""
