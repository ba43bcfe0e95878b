"""How two processes prove to each other that they hold the deployment's key.

Both sides send a `Hello` with a random challenge, then a `Proof`: a MAC over
both challenges and the side's role, so that neither proof can be sent back.
"""

import hashlib
import hmac
import secrets
from enum import Enum

from cicadawheel.errors import AuthenticationError, ProtocolError
from cicadawheel.wire.message import Message

PROTOCOL_VERSION = 8
CHALLENGE_BYTES = 16


class Role(Enum):
    """The side of a stream."""

    CLIENT = b"client"
    SERVER = b"server"


class Hello(Message, tag="hello"):
    """First message of both sides: who speaks, and a challenge."""

    protocol_version: int
    name: str
    boot: str
    challenge: bytes


class Proof(Message, tag="proof"):
    """Second message of both sides: a MAC over both challenges."""

    mac: bytes


class Handshake:
    """One side of the handshake, without a socket.

    Parameters
    ----------
    role : Role
        The side that this process takes.
    key : bytes
        The deployment's key.
    name, boot : str
        The name of this process, and that of its start.
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
        """Take the peer's next message and return the one to answer with.

        Raises
        ------
        ProtocolError
            The peer speaks another version, or out of turn.
        AuthenticationError
            The peer's proof doesn't match the key.
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
                f"peer speaks protocol version {hello.protocol_version}, "
                f"this process speaks {PROTOCOL_VERSION}",
                step="handshake",
                peer=hello.name,
            )
        self.peer = hello
        return Proof(self._compute_mac(self.role))

    def _receive_proof(self, proof: Proof) -> None:
        if self.peer is None or self.done:
            raise ProtocolError("peer sent a proof out of turn", step="handshake")
        peer_role = Role.SERVER if self.role is Role.CLIENT else Role.CLIENT
        if not hmac.compare_digest(proof.mac, self._compute_mac(peer_role)):
            raise AuthenticationError(
                "peer doesn't hold the deployment's key",
                step="handshake",
                peer=self.peer.name,
            )
        self.done = True

    def _compute_mac(self, role: Role) -> bytes:
        ours, theirs = self.hello.challenge, self.peer.challenge
        client, server = (ours, theirs) if self.role is Role.CLIENT else (theirs, ours)
        data = role.value + client + server
        return hmac.new(self.key, data, hashlib.sha256).digest()
