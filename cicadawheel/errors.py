"""The exception hierarchy."""


class CicadawheelError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    message : str
        Description of the error, in one sentence.
    step : str
        The operation that failed, for example ``"connect"``.
    peer : str
        The remote process or the file involved, or ``""``.

    Attributes
    ----------
    is_final : bool
        Whether a restart of the failed task can't succeed.
    """

    is_final = False

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, followed by the step and the peer."""
        context = [f"step={self.step}"] if self.step else []
        context += [f"peer={self.peer}"] if self.peer else []
        return " ".join([self.message, *context])


class UserError(CicadawheelError):
    """An error that is reported to the user as one line, without a traceback."""


class SettingsError(UserError):
    """A settings file or an answers file is unreadable or invalid."""


class CommandRefusedError(UserError):
    """Control rejected an operator's command."""


class StaleCommandError(CicadawheelError):
    """A command was not run, as its sender may have sent it elsewhere since."""


class PeerError(CicadawheelError):
    """The remote process failed or violated the protocol."""


class ProtocolError(PeerError):
    """The peer sent data that violates the protocol."""


class AuthenticationError(PeerError):
    """The peer could not prove that it holds the deployment's key."""


class ConnectionLostError(PeerError):
    """The connection to the peer was closed unexpectedly."""


class StorageError(CicadawheelError):
    """The data folder can't be read or written."""

    is_final = True


class StorageFullError(StorageError):
    """The disk of the data folder is full.

    The storage can't be used again; `run_control` opens it anew until there is space.
    """


class ReplicaRemovedError(StorageError):
    """The replica is no longer a member; its data folder can't be reused."""


class CorruptionError(StorageError):
    """A file of the data folder is corrupt."""


class NoQuorumError(CicadawheelError):
    """No majority of control replicas is reachable."""


class NotLeaderError(CicadawheelError):
    """The replica is not the leader, or can no longer confirm that it is."""
