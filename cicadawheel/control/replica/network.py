"""The message streams between a replica and the others."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from cicadawheel.control.raft.membership import FolderId
from cicadawheel.control.replica.message import Introduction, ReplicaMessage
from cicadawheel.errors import ConnectionLostError, PeerError, ProtocolError
from cicadawheel.ids import ReplicaId
from cicadawheel.logs import log_event
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S, Clock
from cicadawheel.wire import Message, Stream, connect_stream, serve_streams
from cicadawheel.wire.handshake import Role
from cicadawheel.wire.stream import Identity

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 1_000.0
RECONNECT_INTERVAL_MS = 100.0
KEEP_ALIVE_INTERVAL_MS = 400.0
SILENCE_LIMIT_MS = 1_500.0
UNSENT_LIMIT_BYTES = 8 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(ReplicaMessage)


class Connectivity(msgspec.Struct, frozen=True):
    """What is known of the connection to another replica.

    ``heard_ms`` is the age of its last message, and ``unanswered_ms`` the age of the
    first message that was sent to it since; each is None if there is no such message.
    """

    open: bool
    folder: FolderId | None
    heard_ms: float | None
    unanswered_ms: float | None


class NetworkOwner(Protocol):
    """Receives the messages of the other replicas."""

    def introduce(self) -> Introduction:
        """Return the introduction of this replica."""

    def replica_introduced(self, peer: ReplicaId, introduction: Introduction) -> None:
        """Process the introduction of another replica."""

    def replica_message(self, peer: ReplicaId, message: Message) -> None:
        """Process a message that follows the introduction of a replica."""


class _Liveness:
    """When a stream last brought bytes, and since when messages on it wait for some."""

    def __init__(self, stream: Stream):
        self.heard_ms: float | None = None
        self.unanswered_ms: float | None = None
        self._stream = stream
        self._received_bytes = 0

    def sent(self, now_ms: float) -> None:
        if self.unanswered_ms is None:
            self.unanswered_ms = now_ms

    def update(self, now_ms: float) -> None:
        """Take account of the bytes received, which may be a part of a message."""
        if self._stream.received_bytes != self._received_bytes:
            self._received_bytes = self._stream.received_bytes
            self.heard_ms = now_ms
            self.unanswered_ms = None

    def was_heard(self, now_ms: float) -> bool:
        self.update(now_ms)
        heard_ms = self.heard_ms
        return heard_ms is not None and now_ms - heard_ms <= SILENCE_LIMIT_MS

    def is_silent(self, now_ms: float) -> bool:
        self.update(now_ms)
        unanswered_ms = self.unanswered_ms
        return unanswered_ms is not None and now_ms - unanswered_ms > SILENCE_LIMIT_MS


class Network:
    """Connects to the other replicas, and accepts their connections.

    A message is sent on the outgoing stream to a replica if that is open, else on an
    incoming one. Messages that can't be sent are dropped.

    Both ends of a stream repeat their introduction on it, and each closes a stream that
    brings nothing. Every stream is judged by itself: messages that arrive on another
    one don't show that this one carries any, and the other end's reset may be lost.
    Replicas of older versions don't repeat theirs; their streams are closed if none of
    them brings anything while messages wait for an answer.

    Parameters
    ----------
    listen : Address
        The address to listen on for other replicas.
    identity : Identity
        The identity of this process; its name is the replica's id.
    owner : NetworkOwner
        Receives the messages.
    clock : Clock
        The time source.
    """

    def __init__(
        self, listen: Address, identity: Identity, owner: NetworkOwner, clock: Clock
    ):
        self.listen = listen
        self.identity = identity
        self.owner = owner
        self.clock = clock
        self.folders: dict[ReplicaId, FolderId] = {}
        self._targets: dict[ReplicaId, Address] = {}
        self._joining: dict[ReplicaId, Address] = {}
        self._seed_dials: dict[Address, asyncio.Task[None]] = {}
        self._dials: dict[tuple[ReplicaId, Address], asyncio.Task[None]] = {}
        self._outgoing: dict[ReplicaId, Stream] = {}
        self._incoming: dict[ReplicaId, Stream] = {}
        self.dropped_messages = 0
        self.displaced: set[ReplicaId] = set()
        """The targets at whose addresses another replica has answered since."""
        self._introductions: dict[Stream, Introduction] = {}
        self._streams: dict[Stream, _Liveness] = {}
        self._closed: dict[Stream, asyncio.Event] = {}
        self._group: asyncio.TaskGroup | None = None
        self._ended = False

    async def run(self, ready: Callable[[], None]) -> None:
        """Listen and connect until cancelled; ``ready`` is called once listening.

        Raises
        ------
        ConnectionLostError
            The address can't be listened on.
        """
        self._ended = False
        server = await self._serve()
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                ready()
                self._update_dials()
                await self._keep_alive()
        finally:
            self._ended = True
            self._group = None
            self._dials.clear()
            self._seed_dials.clear()
            server.close()
            for stream in list(self._streams):
                stream.close()

    def set_targets(self, targets: dict[ReplicaId, Address]) -> None:
        """Set the replicas to connect to.

        Disconnects from all others, but for those of `add_target` that aren't included.
        """
        self._targets = dict(targets)
        for replica in set(self._joining) & set(targets):
            del self._joining[replica]
        self._update_dials()

    def set_seed_addresses(self, addresses: set[Address]) -> None:
        """Set the seed addresses to connect to, whichever replica answers there."""
        if self._group is None:
            return
        for address in set(self._seed_dials) - addresses:
            self._seed_dials.pop(address).cancel()
        for address in addresses - set(self._seed_dials):
            dial = self._group.create_task(self._dial(address, None))
            self._seed_dials[address] = dial

    def reachable(self) -> list[ReplicaId]:
        """Return the replicas that sent an introduction and have an open stream."""
        return [peer for peer in self.folders if self._stream_to(peer) is not None]

    def add_target(self, replica: ReplicaId, address: Address) -> None:
        """Add a replica to connect to, until it is set or dropped as a target."""
        self._joining[replica] = address
        self._update_dials()

    def drop_target(self, replica: ReplicaId) -> None:
        """Disconnect from a replica."""
        self._targets.pop(replica, None)
        self._joining.pop(replica, None)
        self._update_dials()

    def is_connected(self, replica: ReplicaId) -> bool:
        """Return whether a replica has answered on an outgoing stream."""
        return replica in self._outgoing and replica in self.folders

    def describe_connection(self, replica: ReplicaId) -> Connectivity:
        """Return what is known of the connection to another replica."""
        stream = self._stream_to(replica)
        folder = self.folders.get(replica)
        if stream is None:
            return Connectivity(False, folder, None, None)
        now_ms = self.clock.now_ms()
        liveness = self._streams[stream]
        heard_ms, unanswered_ms = liveness.heard_ms, liveness.unanswered_ms
        return Connectivity(
            True,
            folder,
            None if heard_ms is None else now_ms - heard_ms,
            None if unanswered_ms is None else now_ms - unanswered_ms,
        )

    def send(self, replica: ReplicaId, message: Message) -> bool:
        """Send a message and return True, or drop it and return False."""
        stream = self._stream_to(replica)
        if (
            stream is None
            or stream.unsent_bytes() > UNSENT_LIMIT_BYTES
            or self._is_silent(stream)
        ):
            self.dropped_messages += 1
            return False
        self._send_on(stream, message)
        return True

    def stream_opened(self, stream: Stream) -> None:
        """Send the introduction of this replica."""
        self._streams[stream] = _Liveness(stream)
        if self._ended:
            # Accepted before this replica ended, which closed all opened streams.
            stream.close()
            return
        self._send_on(stream, self.owner.introduce())

    def message_received(self, stream: Stream, message: Message) -> None:
        """Process a message; the first one on a stream must be the introduction."""
        peer = ReplicaId(stream.peer)
        if stream not in self._streams:
            # The connecting task has ended just as the handshake was completed.
            return
        self._streams[stream].update(self.clock.now_ms())
        if isinstance(message, Introduction):
            self._introductions[stream] = message
            self.folders[peer] = message.folder
            if stream.handshake.role is Role.SERVER:
                self._incoming[peer] = stream
            self.owner.replica_introduced(peer, message)
        elif stream in self._introductions:
            self.owner.replica_message(peer, message)
        else:
            stream.abort(
                ProtocolError(
                    "first message isn't an introduction",
                    step="introduction",
                    peer=peer,
                )
            )

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """Remove a closed stream, and use another open one in its place."""
        self._discard(stream)
        if stream in self._closed:
            self._closed[stream].set()
        reason = str(error or "")
        log_event(log, "replica_stream_closed", peer=stream.peer, reason=reason)

    def _replace_stream(self, streams: dict[ReplicaId, Stream], ended: Stream) -> None:
        """Replace a closed stream by another open one in the same direction."""
        for stream in self._introductions:
            same_direction = stream.handshake.role is ended.handshake.role
            if stream.peer == ended.peer and same_direction and stream.is_open():
                streams[ReplicaId(ended.peer)] = stream

    def _stream_to(self, replica: ReplicaId) -> Stream | None:
        for streams in (self._outgoing, self._incoming):
            stream = streams.get(replica)
            if stream is not None and stream.is_open():
                return stream
        return None

    def _update_folder(self, peer: ReplicaId) -> None:
        self.folders.pop(peer, None)
        for stream, introduction in self._introductions.items():
            if stream.peer == peer:
                self.folders[peer] = introduction.folder

    async def _keep_alive(self) -> None:
        """Repeat the introduction on each stream, and close the silent ones."""
        while True:
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_MS / MS_PER_S)
            introduction = self.owner.introduce()
            silent = [stream for stream in self._streams if self._is_silent(stream)]
            for stream in silent:
                self._abort(stream)
            for stream in filter(Stream.is_open, self._streams):
                if self._repeats(stream):
                    self._send_on(stream, introduction)
                else:
                    stream.send(introduction)

    def _repeats(self, stream: Stream) -> bool:
        introduction = self._introductions.get(stream)
        return introduction is None or introduction.repeats

    def _is_silent(self, stream: Stream) -> bool:
        now_ms = self.clock.now_ms()
        if not self._streams[stream].is_silent(now_ms):
            return False
        return self._repeats(stream) or not any(
            liveness.was_heard(now_ms)
            for other, liveness in self._streams.items()
            if other.peer == stream.peer
        )

    def _send_on(self, stream: Stream, message: Message) -> None:
        stream.send(message)
        self._streams[stream].sent(self.clock.now_ms())

    def _abort(self, stream: Stream) -> None:
        self._discard(stream)
        stream.abort(
            ConnectionLostError(
                "no message received on the stream", step="receive", peer=stream.peer
            )
        )

    def _discard(self, stream: Stream) -> None:
        """Stop using a stream, and use another open one in its place."""
        peer = ReplicaId(stream.peer)
        self._streams.pop(stream, None)
        self._introductions.pop(stream, None)
        self._update_folder(peer)
        for streams in (self._incoming, self._outgoing):
            if streams.get(peer) is stream:
                del streams[peer]
                self._replace_stream(streams, stream)

    async def _serve(self) -> asyncio.Server:
        host, port = self.listen.host, self.listen.port
        try:
            return await serve_streams(
                host, port, self.identity, _decoder, lambda: self
            )
        except OSError as error:
            raise ConnectionLostError(
                f"can't listen: {error.strerror}", step="listen", peer=str(self.listen)
            ) from error

    def _update_dials(self) -> None:
        if self._group is None:
            return
        targets = {*self._targets.items(), *self._joining.items()}
        for target in set(self._dials) - targets:
            self._dials.pop(target).cancel()
        for target in targets - set(self._dials):
            replica, address = target
            dial = self._group.create_task(self._dial(address, replica))
            self._dials[target] = dial

    async def _dial(self, address: Address, replica: ReplicaId | None) -> None:
        while True:
            try:
                await self._maintain_stream(address, replica)
            except PeerError as error:
                log.debug("replica_unreachable", extra={"reason": str(error)})
            await asyncio.sleep(RECONNECT_INTERVAL_MS / MS_PER_S)

    async def _maintain_stream(
        self, address: Address, replica: ReplicaId | None
    ) -> None:
        """Open a stream and wait until it closes; no ``replica`` accepts any peer."""
        stream = await connect_stream(
            address.host,
            address.port,
            self.identity,
            _decoder,
            self,
            CONNECT_TIMEOUT_MS,
        )
        closed = self._closed[stream] = asyncio.Event()
        try:
            if stream.peer == self.identity.name:
                stream.close()
            elif replica is not None and stream.peer != replica:
                self.displaced.add(replica)
                stream.abort(
                    ProtocolError("address belongs to another replica", peer=replica)
                )
                log_event(log, "wrong_replica", peer=stream.peer, address=str(address))
            elif stream in self._streams and stream.is_open():
                self.displaced.discard(ReplicaId(stream.peer))
                self._outgoing[ReplicaId(stream.peer)] = stream
                await closed.wait()
        finally:
            del self._closed[stream]
            stream.close()
