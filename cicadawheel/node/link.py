"""The node's stream to control: registration, lease renewal and view updates."""

import asyncio
import itertools
import logging
from typing import Protocol

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.control.lease import NodeLoad
from cicadawheel.control.messages import (
    ClaimAnswer,
    ControlToNode,
    Heartbeat,
    Leaving,
    NodeToControl,
    RegisterAgain,
    Registered,
    Renewal,
    Replicas,
    View,
    ViewDelta,
)
from cicadawheel.errors import ConnectionLostError, PeerError
from cicadawheel.ids import BootId, Epoch, NodeId, UpstreamId
from cicadawheel.logs import log_event
from cicadawheel.node.view import NodeView
from cicadawheel.settings import Address
from cicadawheel.timer import MS_PER_S
from cicadawheel.wire.stream import Identity, Stream, connect_stream

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 500.0
RENEWAL_INTERVAL_MS = 1_000.0
CHECK_INTERVAL_MS = 250.0
STALE_REPLICA_MS = 1_000.0
RETRY_DELAY_MS = 100.0

_decoder = msgspec.msgpack.Decoder(ControlToNode)


class LinkOwner(Protocol):
    """Handles events of the stream to control."""

    def view_changed(self, view: NodeView) -> None:
        """Called when the view has been updated."""

    def claim_answered(self, answer: ClaimAnswer) -> None:
        """Called with control's answer to a claim message."""

    def control_lost(self) -> None:
        """Called when the stream has closed; pending requests get no answer."""

    def load(self) -> NodeLoad:
        """Return the load of the node's gate."""


class ControlLink:
    """Maintains one stream to a control replica that is in contact with the leader.

    Parameters
    ----------
    addresses : tuple of Address
        The replicas' stream addresses, tried in round-robin order.
    identity : Identity
        The name, boot id and key of this process.
    owner : LinkOwner
        Receives views, claim answers and disconnections.
    first_index : int
        Index of the address to try first, so that nodes spread over the replicas.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        identity: Identity,
        owner: LinkOwner,
        first_index: int,
    ):
        self.addresses = addresses
        self.seeds = addresses
        self.identity = identity
        self.owner = owner
        self.node = NodeId(identity.name)
        self.view = NodeView()
        self.epoch = Epoch(0)
        self.member: Member | None = None
        self.boot = BootId("")
        self.sent_bytes = 0
        self.received_bytes = 0
        self.replica = ""
        self._address_index = itertools.count(first_index)
        self._stream: Stream | None = None
        self._stream_ended = asyncio.Event()
        self._current = asyncio.Event()
        self._last_current_at_s = 0.0
        self._registered = asyncio.Event()
        self._departure_known = asyncio.Event()

    @property
    def connected(self) -> bool:
        """Whether a replica in contact with the leader is connected."""
        return self._stream is not None and self._current.is_set()

    async def run(self) -> None:
        """Connect to one replica after the other, until cancelled."""
        while not self.addresses:
            # A reload of the settings may bring addresses.
            log_event(log, "control_lost", peer="", reason="no control_addresses")
            await asyncio.sleep(STALE_REPLICA_MS / MS_PER_S)
        while True:
            address = self.addresses[next(self._address_index) % len(self.addresses)]
            try:
                await self._run_stream(address)
            except PeerError as error:
                log_event(log, "control_lost", peer=address, reason=error)
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)

    def register(self, member: Member, boot: BootId) -> None:
        """Register the upstream, now and after each reconnection."""
        if (self.member, self.boot) != (member, boot):
            self.member = member
            self.boot = boot
            self._renew(with_member=True)

    def depart(self) -> None:
        """Report to control that the upstream has left for good, until it knows."""
        if self.member is not None:
            self.member = msgspec.structs.replace(
                self.member, leaving=True, departed_boot=self.boot
            )
            self._check_departure()
        if not self._departure_known.is_set():
            self._send(Leaving(self.node, self.epoch, self.boot))

    async def confirm_departure(self, timeout_ms: float) -> bool:
        """Wait until control knows that the upstream has left; return whether it does.

        An upstream that was never registered needs no confirmation.
        """
        if self.member is None or not self.member.departed_boot:
            return True
        self._check_departure()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._departure_known.wait()
        except TimeoutError:
            return False
        return True

    def leave(self) -> None:
        """Report to control that the upstream takes no new work."""
        if self.member is not None:
            self.member = msgspec.structs.replace(self.member, leaving=True)
        self._send(Leaving(self.node, self.epoch))

    def send(self, message: NodeToControl) -> bool:
        """Send a message and return whether a replica is connected."""
        return self._send(message)

    def apply_peer_view(self, view: View) -> None:
        """Apply a view received from another node, if it is newer."""
        if self.view.update(view):
            log_event(log, "view_from_peer", index=view.index)
            self._check_departure()
            self.owner.view_changed(self.view)

    async def ready(self) -> None:
        """Wait until a current replica is connected and the node is registered."""
        await self._current.wait()
        await self._registered.wait()

    def stream_opened(self, stream: Stream) -> None:
        """Do nothing: `_run_stream` handles the new stream."""

    def message_received(self, stream: Stream, message: ControlToNode) -> None:
        """Handle a message of the replica."""
        if isinstance(message, Heartbeat):
            self._handle_beat(message)
        elif isinstance(message, Registered):
            self._handle_registered(message)
        elif isinstance(message, RegisterAgain):
            self._renew(with_member=True)
        elif isinstance(message, Replicas):
            self._update_addresses(message.hosts)
        elif isinstance(message, ClaimAnswer):
            self.owner.claim_answered(message)
        elif self._apply_view(message):
            self._check_departure()
            self.owner.view_changed(self.view)
            self._renew()

    def stream_closed(self, stream: Stream, error: PeerError | None) -> None:
        """Reset the connection state and notify the owner."""
        self._stream = None
        self._current.clear()
        self._stream_ended.set()
        self.owner.control_lost()

    async def _run_stream(self, address: Address) -> None:
        self._stream_ended.clear()
        self._stream = await connect_stream(
            address.host,
            address.port,
            self.identity,
            _decoder,
            self,
            CONNECT_TIMEOUT_MS,
        )
        self.replica = self._stream.peer
        loop = asyncio.get_running_loop()
        self._last_current_at_s = loop.time()
        log_event(log, "control_connected", peer=self.replica)
        self._renew(with_member=True)
        renewed_at_s = loop.time()
        while not self._stream_ended.is_set():
            try:
                async with asyncio.timeout(CHECK_INTERVAL_MS / MS_PER_S):
                    await self._stream_ended.wait()
            except TimeoutError:
                now_s = loop.time()
                self._check_staleness(now_s)
                if (now_s - renewed_at_s) * MS_PER_S >= RENEWAL_INTERVAL_MS:
                    renewed_at_s = now_s
                    self._renew(with_member=self._has_unregistered_member())

    def _has_unregistered_member(self) -> bool:
        if not self._registered.is_set():
            return True
        departed = self.member is not None and bool(self.member.departed_boot)
        return departed and not self._departure_known.is_set()

    def _check_departure(self) -> None:
        """Compare the departure to report with the one in the view."""
        known = self.view.members.get(self.node)
        departure = None if self.member is None else _departure(self.member)
        if departure and known is not None and _departure(known) == departure:
            self._departure_known.set()
        else:
            self._departure_known.clear()

    def _check_staleness(self, now_s: float) -> None:
        silent_ms = (now_s - self._last_current_at_s) * MS_PER_S
        if silent_ms > STALE_REPLICA_MS and self._stream is not None:
            log_event(log, "control_stale", peer=self.replica, silent_ms=silent_ms)
            self._stream.abort(
                ConnectionLostError("replica is cut off", peer=self.replica)
            )

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed addresses, and keep the replicas learned from control.

        Settings without addresses don't replace any.
        """
        if seeds and seeds != self.seeds:
            known = tuple(
                address for address in self.addresses if address not in self.seeds
            )
            self.seeds = seeds
            self.addresses = tuple(dict.fromkeys((*seeds, *known)))

    def _update_addresses(self, hosts: tuple[str, ...]) -> None:
        """Update the replica addresses; all replicas use the seeds' port."""
        if not hosts:
            return
        port = self.seeds[0].port
        known = [Address(host, port) for host in hosts]
        self.addresses = tuple(dict.fromkeys((*known, *self.seeds)))
        log_event(log, "replicas_known", hosts=",".join(hosts))

    def _handle_registered(self, message: Registered) -> None:
        self.epoch = message.epoch
        self._registered.set()
        member = self.member
        if member is None or not member.departed_boot:
            return
        if message.departed_boot == member.departed_boot:
            self._departure_known.set()
        elif not self._departure_known.is_set():
            # The upstream left while it was being registered.
            self._renew(with_member=True)

    def _handle_beat(self, beat: Heartbeat) -> None:
        if beat.current:
            self._last_current_at_s = asyncio.get_running_loop().time()
            self._current.set()
        else:
            self._current.clear()

    def _apply_view(self, message: View | ViewDelta) -> bool:
        if isinstance(message, ViewDelta) and message.base != self.view.index:
            if message.index > self.view.index and self._stream is not None:
                self._stream.abort(
                    ConnectionLostError(
                        "view delta does not follow the known view", peer=self.replica
                    )
                )
            return False
        return self.view.update(message)

    def _renew(self, with_member: bool = False) -> None:
        member = self.member if with_member else None
        revision = self.view.configuration.revision
        load = self.owner.load()
        self._send(
            Renewal(
                self.node,
                self.epoch,
                revision,
                self.view.index,
                member,
                load,
                self.boot,
            )
        )

    def _send(self, message: NodeToControl) -> bool:
        if self._stream is None or not self._stream.is_open():
            return False
        self._stream.send(message)
        return True


def _departure(member: Member) -> tuple[UpstreamId, BootId] | None:
    return (member.upstream, member.departed_boot) if member.departed_boot else None
