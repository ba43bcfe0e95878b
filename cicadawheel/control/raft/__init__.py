"""Raft consensus as a deterministic state machine without input or output."""

from cicadawheel.control.raft.core import Raft, make_raft

__all__ = ["Raft", "make_raft"]
