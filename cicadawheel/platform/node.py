"""The platform's calls to a node: heartbeats and deregistrations of its upstream."""

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
from cicadawheel.platform.heartbeats import decode_deregistration, decode_heartbeat

log = logging.getLogger(__name__)

RPC_PATH = "/rpc"
HEARTBEAT = "instances.heartbeat"
DEREGISTER = "instances.deregister"
BAD_REQUEST = 400
SERVICE_UNAVAILABLE = 503


class PlatformNodeApi:
    """Serves heartbeats and deregistrations.

    Requests to other paths go to cicadawheel's own admin API.

    Parameters
    ----------
    node : Node
        The node whose upstream sends the calls.
    """

    def __init__(self, node: Node):
        self.node = node
        self.native_api = NodeAdmin(node)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        url = urlsplit(request.target)
        if url.path != RPC_PATH:
            return await self.native_api.handle(request)
        query = parse_qs(url.query)
        call_name = query.get("call", [""])[0]
        instance = query.get("of", [""])[0]
        try:
            if call_name == HEARTBEAT:
                return await self._handle_heartbeat(instance, request.body)
            if call_name == DEREGISTER:
                return await self._handle_deregistration(instance, request.body)
        except ValueError as error:
            log_event(log, "announcement_refused", upstream=instance, reason=error)
            return text_answer(f"{error}\n", BAD_REQUEST)
        return text_answer(f"no call {call_name}\n", 404)

    async def _handle_heartbeat(self, instance: str, body: bytes) -> HttpAnswer:
        heartbeat = decode_heartbeat(instance, body)
        services = self.node.control.view.configuration.services
        announcement = heartbeat.to_announcement(services.get(heartbeat.service))
        self.node.handle_announcement(
            announcement, heartbeat.sequence, heartbeat.draining
        )
        if heartbeat.draining:
            return await self._acknowledge_departure()
        return json_answer({})

    async def _handle_deregistration(self, instance: str, body: bytes) -> HttpAnswer:
        boot = decode_deregistration(body)
        self.node.handle_leave(Leave(UpstreamId(instance), boot))
        return await self._acknowledge_departure()

    async def _acknowledge_departure(self) -> HttpAnswer:
        if await self.node.confirm_departure():
            return json_answer({})
        return text_answer("control hasn't confirmed it yet\n", SERVICE_UNAVAILABLE)


def make_handler(node: Node) -> Handler:
    """Return the HTTP handler of a node on the platform."""
    return PlatformNodeApi(node).handle
