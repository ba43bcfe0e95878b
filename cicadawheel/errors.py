"""The exception tree: each error carries its step and its peer."""


class CicadawheelError(Exception):
    """Base of all errors of this library.

    Parameters
    ----------
    message : str
        What went wrong, in one sentence.
    step : str
        The step at which it went wrong, for example ``"connect"``.
    peer : str
        The process or file on the other side, or ``""``.

    Attributes
    ----------
    is_final : bool
        Whether the same task would fail again, however often it is started.
    """

    is_final = False

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, followed by the step and the peer."""
        place = [f"step={self.step}"] if self.step else []
        place += [f"peer={self.peer}"] if self.peer else []
        return " ".join([self.message, *place])


class UserError(CicadawheelError):
    """An error to be shown to the user as one line, without a traceback."""


class SettingsError(UserError):
    """A settings file or an answers file can't be used."""


class CommandRefusedError(UserError):
    """Control refused an operator's command."""


class PeerError(CicadawheelError):
    """The process on the other side failed or broke the protocol."""


class ProtocolError(PeerError):
    """The peer sent something that the protocol doesn't allow."""


class AuthenticationError(PeerError):
    """The peer doesn't hold the deployment's key."""


class ConnectionLostError(PeerError):
    """The connection to the peer ended early."""


class StorageError(CicadawheelError):
    """The data folder can't be read or written."""

    is_final = True


class StorageFullError(StorageError):
    """The disk of the data folder has no room; it may have some later."""


class ReplicaRemovedError(StorageError):
    """The replica is no member any more; its folder is of no use."""


class CorruptionError(StorageError):
    """A file of the data folder holds bytes that were not written so."""


class NoQuorumError(CicadawheelError):
    """No majority of control replicas could be reached."""


class NotLeaderError(CicadawheelError):
    """The replica is not the leader, or is no longer sure of it."""
