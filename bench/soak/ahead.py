"""Callers of a soak that send several reads ahead on one connection."""

import asyncio
import random

import h11

from bench.caller import request_of
from bench.calls import Call, CallDrawer, CallKind, CallOutcome, Reply, judge
from bench.content import CHUNK_BYTES, checksum_of
from cicadawheel.settings import Address

TRAIN_LENGTH = 6
"""How many reads are sent at once on a connection."""

INTERVAL_S = 0.25
ANSWERED_LIMIT_S = 10.0
"""A train that isn't answered by then is given up; its calls end after 5 s."""

BURST_EVERY = 40
BURST_TRAINS = 12
"""Every so many trains, so many of one kind are sent at the same time."""


class AheadCallers:
    """Sends trains of reads ahead, and counts the answers that aren't the right ones.

    Parameters
    ----------
    entries : sequence of Address
        The entries that are called.
    kinds : sequence of CallKind
        The kinds of call; only reads without a body are sent.
    seed : int
        Seeds the choice of entries and kinds.
    """

    def __init__(
        self, entries: tuple[Address, ...], kinds: tuple[CallKind, ...], seed: int
    ):
        self.entries = entries
        self.answered = 0
        self.wrong = 0
        self._rng = random.Random(seed)
        reads = [
            kind for kind in kinds if not kind.never_repeat and not kind.body_bytes
        ]
        self._drawers = [
            CallDrawer([kind], self._rng, f"ahead-{seed}-{kind.name}") for kind in reads
        ]

    async def run(self) -> None:
        """Send trains until cancelled."""
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                number += 1
                drawer = self._rng.choice(self._drawers)
                trains = BURST_TRAINS if number % BURST_EVERY == 0 else 1
                for _ in range(trains):
                    calls = [drawer.draw() for _ in range(TRAIN_LENGTH)]
                    group.create_task(self._send(calls, self._rng.choice(self.entries)))
                await asyncio.sleep(INTERVAL_S)

    async def _send(self, calls: list[Call], entry: Address) -> None:
        try:
            async with asyncio.timeout(ANSWERED_LIMIT_S):
                await self._exchange(calls, entry)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            # Disturbances end connections; only answers that came are judged.
            return

    async def _exchange(self, calls: list[Call], entry: Address) -> None:
        reader, writer = await asyncio.open_connection(entry.host, entry.port)
        try:
            exchanges = []
            for call in calls:
                http = h11.Connection(h11.CLIENT)
                writer.write(http.send(request_of(call, call.token, str(entry))))
                http.send(h11.EndOfMessage())
                exchanges.append(http)
            rest = b""
            for call, http in zip(calls, exchanges, strict=True):
                reply, rest = await _read_reply(http, reader, rest)
                outcome = judge(call, reply)
                self.answered += outcome is CallOutcome.ANSWERED
                self.wrong += outcome is CallOutcome.WRONG
                if reply.headers.get(b"connection") == b"close":
                    return
        finally:
            writer.transport.abort()


async def _read_reply(
    http: h11.Connection, reader: asyncio.StreamReader, received: bytes
) -> tuple[Reply, bytes]:
    """Return the next answer, and what was received after it."""
    head, parts = None, []
    if received:
        http.receive_data(received)
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            body = b"".join(parts)
            fields = dict(head.headers)
            reply = Reply(head.status_code, fields, len(body), checksum_of(body))
            return reply, http.trailing_data[0]
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise h11.RemoteProtocolError("closed before the answer was complete")
