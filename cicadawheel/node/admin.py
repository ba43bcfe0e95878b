"""HTTP handler of a node's admin address, for its upstream and for operators."""

import logging
from typing import Protocol

import msgspec
import prometheus_client

from cicadawheel.announcement import (
    ANNOUNCE_PATH,
    LEAVE_PATH,
    AnnounceAnswer,
    Announcement,
    Leave,
)
from cicadawheel.http.exchange import (
    Handler,
    HttpAnswer,
    HttpRequest,
    json_answer,
    text_answer,
)
from cicadawheel.metrics import NodeMetrics

log = logging.getLogger(__name__)

ANNOUNCE_REPEAT_MS = 1_000.0


class AdministeredNode(Protocol):
    """The interface of the node that the admin handler uses."""

    metrics: NodeMetrics

    def announce(self, announcement: Announcement) -> None:
        """Record the node's own upstream."""

    def handle_leave(self, leave: Leave) -> bool:
        """Stop sending to the upstream; return whether it is the announced one."""

    def dump(self) -> msgspec.Struct:
        """Return the state of the node."""

    def update_gauges(self) -> None:
        """Update the gauges from the current state."""


class NodeAdmin:
    """Handles requests for announcements, metrics and dumps.

    Parameters
    ----------
    node : AdministeredNode
        The node to serve.
    """

    def __init__(self, node: AdministeredNode):
        self.node = node

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Handle one request."""
        endpoint = (request.method, request.path)
        if endpoint == ("POST", ANNOUNCE_PATH):
            return self._announce(request)
        if endpoint == ("POST", LEAVE_PATH):
            return self._leave(request)
        if endpoint == ("GET", "/dump"):
            return json_answer(self.node.dump())
        if endpoint == ("GET", "/metrics"):
            self.node.update_gauges()
            body = prometheus_client.generate_latest(self.node.metrics.registry)
            return HttpAnswer(200, body, prometheus_client.CONTENT_TYPE_LATEST)
        return text_answer(f"nothing is at {request.method} {request.path}\n", 404)

    def _announce(self, request: HttpRequest) -> HttpAnswer:
        announcement = msgspec.json.decode(request.body, type=Announcement)
        self.node.announce(announcement)
        return json_answer(AnnounceAnswer(ANNOUNCE_REPEAT_MS))

    def _leave(self, request: HttpRequest) -> HttpAnswer:
        leave = msgspec.json.decode(request.body, type=Leave)
        if not self.node.handle_leave(leave):
            return text_answer("this upstream is not the one announced here\n", 409)
        return text_answer("leaving\n")


def make_admin_handler(node: AdministeredNode) -> Handler:
    """Return the default handler for a node's admin address."""
    return NodeAdmin(node).handle
