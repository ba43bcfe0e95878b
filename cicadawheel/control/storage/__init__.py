"""Durable storage of a replica's Raft state in its data folder."""

from cicadawheel.control.storage.files import DiskFiles, Files
from cicadawheel.control.storage.store import Storage

__all__ = ["DiskFiles", "Files", "Storage"]
