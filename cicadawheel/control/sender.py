"""Tells commands whose sender still waits from those that were given up."""

import asyncio
from collections.abc import Callable

from cicadawheel.control.log import CommandLog
from cicadawheel.errors import StaleCommandError


async def confirm_sender_waits(
    log: CommandLog, is_abandoned: Callable[[], bool]
) -> None:
    """Check that the sender of a command still waits for its outcome.

    A replica that was frozen or cut off may read a command that its sender has given
    up, sent to another replica, and taken back since. On return, this replica has
    applied every command that was acknowledged before the call.

    Raises
    ------
    StaleCommandError
        The sender has left.
    NotLeaderError, NoQuorumError
        A linearizable read could not be confirmed.
    """
    # The end of the connection is read after the command.
    await asyncio.sleep(0)
    await log.confirm_read()
    if is_abandoned():
        raise StaleCommandError("the sender has left", step="propose")
