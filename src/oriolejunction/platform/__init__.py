"""Adapter of the operators' platform: its wire names, formats and calls.

Everything is decoded here once, into the project's own types. This package
makes no decisions.
"""
