"""Adapters for the platform that runs cicadawheel: its field names, formats and calls.

Platform messages are decoded here into cicadawheel's own types. This package holds no
routing or admission logic.
"""
