"""Mutual authentication of two processes with the deployment's shared key.

Both sides send a `Hello` with a random challenge, then a `Proof`: a MAC over
both challenges and the sender's role. The role prevents reflection attacks, in
which a peer returns the proof that it received.
"""

import hashlib
import hmac
import secrets
from enum import Enum

from cicadawheel.errors import AuthenticationError, ProtocolError
from cicadawheel.wire.message import Message

PROTOCOL_VERSION = 9
CHALLENGE_BYTES = 16


class Role(Enum):
    """Role of a process on a stream: connecting client or accepting server."""

    CLIENT = b"client"
    SERVER = b"server"


class Hello(Message, tag="hello"):
    """First message of each side: its identity and a random challenge."""

    protocol_version: int
    name: str
    boot: str
    challenge: bytes


class Proof(Message, tag="proof"):
    """Second message of each side: a MAC over both challenges and its role."""

    mac: bytes


class Handshake:
    """State of one side of the handshake, independent of the transport.

    Parameters
    ----------
    role : Role
        The role of this process.
    key : bytes
        The deployment's shared key.
    name, boot : str
        The name of this process and the identifier of its current run.
    """

    def __init__(self, role: Role, key: bytes, name: str, boot: str):
        self.role = role
        self.key = key
        self.hello = Hello(
            PROTOCOL_VERSION, name, boot, secrets.token_bytes(CHALLENGE_BYTES)
        )
        self.peer: Hello | None = None
        self.done = False

    def receive(self, message: Hello | Proof) -> Proof | None:
        """Process a message of the peer and return the reply to send, if any.

        Raises
        ------
        ProtocolError
            The peer uses another protocol version, or sent messages out of order.
        AuthenticationError
            The peer's proof was not made with the shared key.
        """
        if isinstance(message, Hello):
            return self._receive_hello(message)
        self._receive_proof(message)
        return None

    def _receive_hello(self, hello: Hello) -> Proof:
        if self.peer is not None:
            raise ProtocolError("peer sent a second hello", step="handshake")
        if hello.protocol_version != PROTOCOL_VERSION:
            raise ProtocolError(
                f"peer uses protocol version {hello.protocol_version}, "
                f"this process uses {PROTOCOL_VERSION}",
                step="handshake",
                peer=hello.name,
            )
        self.peer = hello
        return Proof(self._compute_mac(self.role))

    def _receive_proof(self, proof: Proof) -> None:
        if self.peer is None or self.done:
            raise ProtocolError("peer sent a proof out of order", step="handshake")
        peer_role = Role.SERVER if self.role is Role.CLIENT else Role.CLIENT
        if not hmac.compare_digest(proof.mac, self._compute_mac(peer_role)):
            raise AuthenticationError(
                "peer's proof does not match the deployment's key",
                step="handshake",
                peer=self.peer.name,
            )
        self.done = True

    def _compute_mac(self, role: Role) -> bytes:
        ours, theirs = self.hello.challenge, self.peer.challenge
        client, server = (ours, theirs) if self.role is Role.CLIENT else (theirs, ours)
        data = role.value + client + server
        return hmac.new(self.key, data, hashlib.sha256).digest()
