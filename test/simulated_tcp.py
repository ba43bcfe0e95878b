"""TCP between simulated machines: retransmissions, resets, and what faults drop."""

import asyncio
import random
from collections import deque
from enum import Enum, auto

import msgspec

SYN_RETRANSMISSION_S = 1.0
FIRST_RETRANSMISSION_S = 0.2
RETRANSMISSION_LIMIT_S = 120.0
SEND_BUFFER_BYTES = 256 * 1024
LATENCY_S = (0.0003, 0.003)


class Kind(Enum):
    """The kinds of segments."""

    SYN = auto()
    SYN_ACK = auto()
    ACK = auto()
    DATA = auto()
    RESET = auto()


class Segment(msgspec.Struct):
    """A segment of a connection.

    ``number`` is the port of a SYN, the number of a data segment, or of the first
    that isn't acknowledged. Data of None is a FIN.
    """

    kind: Kind
    source: str
    target: str
    connection: int
    to_server: bool
    number: int = 0
    data: bytes | None = b""


class SimulatedNetwork:
    """Carries segments between machines, and drops those that a fault affects.

    ``cuts`` holds sets of directed links, and ``silenced`` connections with the machine
    whose segments are lost.
    """

    def __init__(self, loop, seed):
        self.loop = loop
        self.seed = seed
        self.machines = {}
        self.cuts = []
        self.silenced = set()
        self._latency_s = {}
        self._connections = 0

    def new_connection(self):
        self._connections += 1
        return self._connections

    def open_connections(self):
        """Return the open connections with their two machines, client first."""
        return [
            (number, name, endpoint.peer)
            for name, machine in self.machines.items()
            for (number, is_server), endpoint in machine.endpoints.items()
            if not is_server and endpoint.is_open
        ]

    def send(self, segment):
        link = (segment.source, segment.target)
        silent = (segment.connection, segment.source) in self.silenced
        if not silent and not any(link in links for links in self.cuts):
            if link not in self._latency_s:
                seeded = random.Random(f"{self.seed} {link}")
                self._latency_s[link] = seeded.uniform(*LATENCY_S)
            self.loop.call_outside(self._latency_s[link], self._arrive, segment)

    def _arrive(self, segment):
        machine = self.machines[segment.target]
        if not machine.is_powered:
            return
        endpoint = machine.endpoints.get((segment.connection, segment.to_server))
        if endpoint is None and segment.kind is Kind.SYN:
            listener = machine.listeners.get(segment.number)
            if listener is not None:
                endpoint = listener.accept(segment)
        if endpoint is not None:
            endpoint.arrived(segment)
        elif segment.kind is not Kind.RESET:
            self.send(
                Segment(
                    Kind.RESET,
                    segment.target,
                    segment.source,
                    segment.connection,
                    not segment.to_server,
                )
            )


class Listener:
    """A listening socket."""

    def __init__(self, process, port, protocol_factory):
        self.process = process
        self.port = port
        self.protocol_factory = protocol_factory
        if not process.is_ended:
            process.machine.listeners[port] = self

    def accept(self, syn):
        return Endpoint(
            self.process, syn.source, syn.connection, self.protocol_factory, True
        )

    def close(self):
        listeners = self.process.machine.listeners
        if listeners.get(self.port) is self:
            del listeners[self.port]


class Socket:
    """Accepts the options that are set on a socket."""

    def setsockopt(self, *option):
        pass


class Endpoint(asyncio.Transport):
    """One end of a connection: the kernel's state, and the transport of a process."""

    def __init__(self, process, peer, number, protocol_factory, is_server=False):
        super().__init__({"socket": Socket(), "peername": peer})
        self.process = process
        self.machine = process.machine
        self.network = self.machine.network
        self.loop = self.network.loop
        self.peer = peer
        self.number = number
        self.is_server = is_server
        self.is_open = False
        self.is_closing_down = False
        self.protocol = None
        self._protocol_factory = protocol_factory
        self._connected = None
        self._unacknowledged = deque()
        self._sent_count = 0
        self._received_count = 0
        self._retransmissions = 0
        self._timer = None
        self.machine.endpoints[number, is_server] = self

    async def connect(self, port):
        """Send SYNs until the peer answers."""
        self._connected = self.loop.create_future()
        pause_s = SYN_RETRANSMISSION_S
        try:
            while not self._connected.done():
                self._send(Kind.SYN, port)
                await asyncio.wait({self._connected}, timeout=pause_s)
                pause_s *= 2
            await self._connected
        except BaseException:
            self._connected.cancel()
            self.forget()
            self._end(None)
            raise

    def write(self, data):
        if not self.is_closing_down:
            self._push(bytes(data))

    def write_eof(self):
        self._push(None)

    def get_write_buffer_size(self):
        size = sum(len(data or b"") for _, data in self._unacknowledged)
        return max(0, size - SEND_BUFFER_BYTES)

    def is_closing(self):
        return self.is_closing_down

    def close(self):
        if not self.is_closing_down:
            self._push(None)
            self._end(None)

    def abort(self):
        if not self.is_closing_down:
            self._send(Kind.RESET)
            self.forget()
            self._end(None)

    def forget(self):
        """Drop the kernel's state, so that later segments are answered by resets."""
        self.machine.endpoints.pop((self.number, self.is_server), None)
        self._unacknowledged.clear()
        self._stop_timer()

    def arrived(self, segment):
        """Process a segment in the kernel, also while the process is frozen."""
        if segment.kind is Kind.RESET:
            self._reset(ConnectionResetError("connection reset by peer"))
            return
        if segment.kind is Kind.SYN:
            self._send(Kind.SYN_ACK)
            return
        self._open()
        if segment.kind is Kind.SYN_ACK:
            self._send(Kind.ACK)
        elif segment.kind is Kind.ACK:
            self._acknowledged(segment.number)
        elif self.is_closing_down and segment.data:
            self._reset(None)
            self._send(Kind.RESET)
        else:
            self._receive(segment)

    def _receive(self, segment):
        if segment.number == self._received_count:
            self._received_count += 1
            if segment.data is None:
                self._call(self._receive_fin)
            else:
                self._call(self._receive_data, segment.data)
        self._send(Kind.ACK, self._received_count)

    def _receive_data(self, data):
        if not self.is_closing_down:
            self.protocol.data_received(data)

    def _receive_fin(self):
        if not self.is_closing_down:
            self.protocol.eof_received()
            self.close()

    def _open(self):
        if self.is_open:
            return
        self.is_open = True
        self._call(self._make_protocol)

    def _make_protocol(self):
        if self._connected is not None and self._connected.cancelled():
            return
        self.protocol = self._protocol_factory()
        self.protocol.connection_made(self)
        if self._connected is not None and not self._connected.done():
            self._connected.set_result(None)

    def _reset(self, error):
        self.forget()
        self._call(self._fail, error)

    def _fail(self, error):
        if self.protocol is not None:
            self._end(error)
        elif self._connected is not None and not self._connected.done():
            self._connected.set_exception(ConnectionRefusedError("connection refused"))

    def _end(self, error):
        if not self.is_closing_down:
            self.is_closing_down = True
            if self.protocol is not None:
                self._call(self.protocol.connection_lost, error)

    def _call(self, callback, *args):
        self.loop.call_soon(callback, *args, context=self.process.context)

    def _push(self, data):
        if (self.number, self.is_server) not in self.machine.endpoints:
            return
        self._unacknowledged.append((self._sent_count, data))
        self._sent_count += 1
        if not self._retransmissions:
            self._send(Kind.DATA, *self._unacknowledged[-1])
        if self._timer is None:
            self._start_timer()

    def _acknowledged(self, count):
        progressed = False
        while self._unacknowledged and self._unacknowledged[0][0] < count:
            self._unacknowledged.popleft()
            progressed = True
        if not progressed:
            return
        was_retransmitting = self._retransmissions > 0
        self._retransmissions = 0
        self._stop_timer()
        if self._unacknowledged:
            self._start_timer()
            if was_retransmitting:
                for number, data in self._unacknowledged:
                    self._send(Kind.DATA, number, data)

    def _retransmit(self):
        self._retransmissions += 1
        self._send(Kind.DATA, *self._unacknowledged[0])
        self._start_timer()

    def _start_timer(self):
        pause_s = FIRST_RETRANSMISSION_S * 2**self._retransmissions
        pause_s = min(pause_s, RETRANSMISSION_LIMIT_S)
        self._timer = self.loop.call_outside(pause_s, self._retransmit)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self, kind, number=0, data=b""):
        self.network.send(
            Segment(
                kind,
                self.machine.name,
                self.peer,
                self.number,
                not self.is_server,
                number,
                data,
            )
        )
