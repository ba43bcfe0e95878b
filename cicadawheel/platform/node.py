"""The calls of the platform at a node: heartbeats of its upstream."""

import logging
from urllib.parse import parse_qs, urlsplit

from cicadawheel.announcement import Leave
from cicadawheel.http.exchange import (
    Handler,
    HttpAnswer,
    HttpRequest,
    json_answer,
    text_answer,
)
from cicadawheel.ids import UpstreamId
from cicadawheel.logs import log_event
from cicadawheel.node.admin import NodeAdmin
from cicadawheel.node.daemon import Node
from cicadawheel.platform.beats import decode_beat, decode_leave

log = logging.getLogger(__name__)

CALL_PATH = "/rpc"
HEARTBEAT = "instances.heartbeat"
DEREGISTER = "instances.deregister"
INVALID = 400


class PlatformNode:
    """Answers heartbeats, and the product's own interface besides.

    Parameters
    ----------
    node : Node
        The node that is told.
    """

    def __init__(self, node: Node):
        self.node = node
        self.own = NodeAdmin(node)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer to one request."""
        place = urlsplit(request.target)
        if place.path != CALL_PATH:
            return await self.own.handle(request)
        query = parse_qs(place.query)
        name = query.get("call", [""])[0]
        of = query.get("of", [""])[0]
        try:
            if name == HEARTBEAT:
                return self._take_beat(of, request.body)
            if name == DEREGISTER:
                return self._take_leave(of, request.body)
        except ValueError as error:
            log_event(log, "announcement_refused", upstream=of, reason=error)
            return text_answer(f"{error}\n", INVALID)
        return text_answer(f"no call {name}\n", 404)

    def _take_beat(self, of: str, body: bytes) -> HttpAnswer:
        beat = decode_beat(of, body)
        services = self.node.control.view.configuration.services
        announcement = beat.announcement(services.get(beat.service))
        self.node.handle_announcement(announcement, beat.number, beat.leaving)
        return json_answer({})

    def _take_leave(self, of: str, body: bytes) -> HttpAnswer:
        boot = decode_leave(body)
        self.node.handle_leave(Leave(UpstreamId(of), boot))
        return json_answer({})


def make_handler(node: Node) -> Handler:
    """Return what answers at a node's address on the platform."""
    return PlatformNode(node).handle
