"""Runs one replica: its connections, consensus, storage and callers' requests."""
