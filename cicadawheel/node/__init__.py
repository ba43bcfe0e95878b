"""The node: a sidecar process per upstream that combines the entry and the gate."""

from cicadawheel.node.daemon import run_node

__all__ = ["run_node"]
