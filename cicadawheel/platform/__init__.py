"""The names, formats and calls of the users' platform, and nothing that decides.

Everything that the platform says is decoded here once, into the product's own types.
"""
