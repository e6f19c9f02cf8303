"""Benches that start real processes; not part of the installed package."""
