"""Follows the flows of an entry: logs their changes and adapts its subsets."""

import logging

from cicadawheel.entry.entry import Entry
from cicadawheel.logs import log_event

log = logging.getLogger(__name__)

INTERVAL_MS = 500.0
"""Interval at which changes are looked for."""


class FlowWatch:
    """Looks after the flows of one entry.

    Parameters
    ----------
    entry : Entry
        Its router has the flows.
    """

    def __init__(self, entry: Entry):
        self.entry = entry

    def check(self, now_ms: float) -> None:
        """Log the flows that have changed, and use the far upstreams they need."""
        router = self.entry.router
        for flow in router.flows.changes():
            log_event(
                log,
                "flow_changed",
                service=flow.service,
                priority=flow.priority,
                share=flow.share,
                pressure=flow.pressure,
                reason=flow.why,
            )
        if router.review_subsets():
            self.entry.update_links()
        self.entry.metrics.set_flow_gauges(
            router.flows.report(), self.entry.transfers.link.use
        )
