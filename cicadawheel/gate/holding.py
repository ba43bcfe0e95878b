"""What a call holds at its gate, as the account of the process counts it."""

from typing import Protocol

from cicadawheel.holdings import (
    ORDINARY_BYTES,
    EndReason,
    Holding,
    HoldingKind,
    Holdings,
)
from cicadawheel.messages import RefusalReason


class HeldCall(Protocol):
    """A call that can be refused."""

    def refuse_held(self, reason: RefusalReason) -> None:
        """Refuse the call and release what it holds."""


class CallHolding:
    """Counts what one call holds, from the size on that makes a difference.

    Parameters
    ----------
    account : Holdings
        The account of the process.
    call : HeldCall
        Is refused if its bytes have to go.
    name : str
        The id of the request, for the log.
    """

    def __init__(self, account: Holdings, call: HeldCall, name: str):
        self._account = account
        self._call: HeldCall | None = call
        self._name = name
        self._holding: Holding | None = None

    def update(self, size_bytes: int) -> None:
        """Set how much the call holds."""
        if self._call is None:
            return
        if self._holding is None:
            if size_bytes <= ORDINARY_BYTES:
                return
            self._holding = self._account.open(HoldingKind.GATE, self._name, self)
        self._holding.hold(size_bytes)

    def release(self) -> None:
        """Remove the call from the account.

        This breaks the reference cycle, so that the call is freed at once.
        """
        self._call = None
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()

    def pause_holding(self) -> None:
        """Do nothing: the credit of the stream bounds what comes."""

    def resume_holding(self) -> None:
        """Do nothing, as nothing was paused."""

    def end_holding(self, reason: EndReason) -> None:
        """Refuse the call."""
        if self._call is not None:
            self._call.refuse_held(RefusalReason.OVERLOAD)
