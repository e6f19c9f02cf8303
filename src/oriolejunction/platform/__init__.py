"""How the operators' platform speaks: names, formats and calls.

Everything is decoded here once, into the product's own types. Nothing in
this folder decides.
"""
