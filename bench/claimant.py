"""A simulated node without an upstream that opens and finishes claims at control."""

import asyncio
import itertools
import time

import msgspec

from bench.ports import free_port
from cicadawheel.configuration import Member
from cicadawheel.control.command import OutcomeState
from cicadawheel.control.messages import (
    ClaimAnswer,
    ClaimFinish,
    ClaimOpen,
    ControlToNode,
    NodeToControl,
    RegisterAgain,
    Registered,
    Renewal,
)
from cicadawheel.errors import CicadawheelError, PeerError
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S
from cicadawheel.wire.stream import Identity, Stream, connect_stream

CONNECT_TIMEOUT_MS = 2_000.0
RENEWAL_INTERVAL_MS = 1_000.0
ANSWER_BYTES = 200
SERVICE = "claims"

_decoder = msgspec.msgpack.Decoder(ControlToNode)


class ClaimError(CicadawheelError):
    """Control refused or failed a claim request."""


class Claimant:
    """A node's stream to a control replica.

    Parameters
    ----------
    name : str
        The name of the node.
    address : Address
        The stream address of the replica.
    key : bytes
        The deployment's key.
    """

    def __init__(self, name: str, address: Address, key: bytes):
        self.name = name
        self.address = address
        self.identity = Identity(name, "bench", key)
        self.epoch = 0
        self._numbers = itertools.count(1)
        self._answers: dict[int, asyncio.Future[ClaimAnswer]] = {}
        self._registered = asyncio.Event()
        self._stream: Stream | None = None
        self._port = free_port()
        self._renewing: asyncio.Task | None = None

    async def start(self) -> None:
        """Connect to the replica and register the node."""
        self._stream = await connect_stream(
            self.address.host,
            self.address.port,
            self.identity,
            _decoder,
            self,
            CONNECT_TIMEOUT_MS,
        )
        self._stream.send(Renewal(self.name, 0, 0, member=self._member()))
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            await self._registered.wait()
        self._renewing = asyncio.ensure_future(self._renew())

    def stop(self) -> None:
        """Stop the renewals and close the stream."""
        if self._renewing is not None:
            self._renewing.cancel()
        if self._stream is not None:
            self._stream.close()

    async def open(self) -> str:
        """Open a claim with a new key and return the key.

        Raises
        ------
        ClaimError
            Control refused the request, or no majority confirmed it.
        """
        key = f"{int(time.time() * MS_PER_S)}-{self.name}-{next(self._numbers)}"
        number = next(self._numbers)
        message = ClaimOpen(
            number=number,
            node=self.name,
            epoch=self.epoch,
            service=SERVICE,
            key=key,
            body_digest="digest",
            attempt=key,
        )
        await self._ask(number, message)
        return key

    async def finish(self, key: str) -> None:
        """Store the answer of a claim.

        Raises
        ------
        ClaimError
            Control refused the request, or no majority confirmed it.
        """
        number = next(self._numbers)
        message = ClaimFinish(
            number=number,
            node=self.name,
            epoch=self.epoch,
            service=SERVICE,
            key=key,
            attempt=key,
            status=200,
            headers=(("content-type", "text/plain"),),
            body=bytes(ANSWER_BYTES),
            may_have_run=False,
        )
        await self._ask(number, message)

    def stream_opened(self, stream: Stream) -> None:
        """Do nothing: `start` sends the registration."""

    def message_received(self, stream: Stream, message: ControlToNode) -> None:
        """Handle a message from control."""
        if isinstance(message, Registered):
            self.epoch = message.epoch
            self._registered.set()
        elif isinstance(message, RegisterAgain):
            stream.send(Renewal(self.name, self.epoch, 0, member=self._member()))
        elif isinstance(message, ClaimAnswer):
            future = self._answers.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message)

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """Fail all pending requests."""
        for future in self._answers.values():
            if not future.done():
                future.set_exception(
                    ClaimError("connection to control lost", peer=stream.peer)
                )

    async def _ask(self, number: int, message: NodeToControl) -> None:
        future = asyncio.get_running_loop().create_future()
        self._answers[number] = future
        self._stream.send(message)
        answer = await future
        if answer.outcome is None:
            raise ClaimError(answer.error, step="claim", peer=self._stream.peer)
        if answer.outcome.state is not OutcomeState.DONE:
            raise ClaimError(answer.outcome.message, step="claim")

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_MS / MS_PER_S)
            self._stream.send(Renewal(self.name, self.epoch, 0))

    def _member(self) -> Member:
        return Member(
            node=self.name,
            upstream=f"upstream-of-{self.name}",
            service=SERVICE,
            version="1",
            data_centre="north",
            host="127.0.0.1",
            port=self._port,
            slots=1,
            connections=1,
        )
