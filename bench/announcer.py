"""Announces a simulated upstream to its node, and deregisters it on shutdown."""

import asyncio

import msgspec

from cicadawheel.announcement import (
    ANNOUNCE_PATH,
    LEAVE_PATH,
    AnnounceAnswer,
    Announcement,
    Leave,
)
from cicadawheel.errors import PeerError
from cicadawheel.http.exchange import fetch
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S

RETRY_MS = 50.0
ANNOUNCE_TIMEOUT_MS = 1_000.0
LEAVE_ATTEMPTS = 10


class Announcer:
    """Repeats an announcement at the interval that the node requests.

    Parameters
    ----------
    node_admin : Address or None
        The node's admin address; None disables announcements.
    announcement : Announcement
        The announcement to send.
    """

    def __init__(self, node_admin: Address | None, announcement: Announcement):
        self._node_admin = node_admin
        self._announcement = announcement

    async def run(self) -> None:
        """Send announcements until cancelled."""
        while self._node_admin is not None:
            delay_ms = await self._announce()
            await asyncio.sleep(delay_ms / MS_PER_S)

    async def leave(self) -> None:
        """Deregister the upstream, with up to ``LEAVE_ATTEMPTS`` attempts."""
        if self._node_admin is None:
            return
        leave = Leave(self._announcement.upstream, self._announcement.boot)
        for _ in range(LEAVE_ATTEMPTS):
            if await self._post(LEAVE_PATH, leave) is not None:
                return
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def _announce(self) -> float:
        body = await self._post(ANNOUNCE_PATH, self._announcement)
        if body is None:
            return RETRY_MS
        try:
            return msgspec.json.decode(body, type=AnnounceAnswer).repeat_ms
        except msgspec.DecodeError:
            return RETRY_MS

    async def _post(self, path: str, message: msgspec.Struct) -> bytes | None:
        body = msgspec.json.encode(message)
        try:
            answer = await fetch(
                self._node_admin, "POST", path, body, timeout_ms=ANNOUNCE_TIMEOUT_MS
            )
        except PeerError:
            return None
        return answer.body if answer.status < 300 else None
