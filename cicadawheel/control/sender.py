"""Tells commands whose sender still waits from those that were given up."""

import asyncio
from collections.abc import Callable

from cicadawheel.control.log import CommandLog
from cicadawheel.errors import StaleCommandError
from cicadawheel.timer import MS_PER_S

ORDER_END_WAIT_MS = 100.0
"""How much later than an operator's order the end of its connection may arrive."""


async def confirm_sender_waits(
    log: CommandLog, is_abandoned: Callable[[], bool], end_wait_ms: float = 0.0
) -> None:
    """Check that the sender of a command still waits for its outcome.

    A replica that was frozen or cut off may read a command that its sender has given
    up, sent to another replica, and taken back since. On return, this replica has
    applied every command that was acknowledged before the call.

    The end of a sender's connection may arrive up to ``end_wait_ms`` after the command.

    Raises
    ------
    StaleCommandError
        The sender has left.
    NotLeaderError, NoQuorumError
        A linearizable read could not be confirmed.
    """
    # Even an end that arrived with the command is read after it.
    await asyncio.gather(asyncio.sleep(end_wait_ms / MS_PER_S), log.confirm_read())
    if is_abandoned():
        raise StaleCommandError("the sender has left", step="propose")
