"""Advances releases while this control replica is the leader."""

import asyncio
import logging

import msgspec

from cicadawheel.control.command import AdvanceRelease, OutcomeState
from cicadawheel.control.log import CommandLog
from cicadawheel.control.state import ControlState
from cicadawheel.errors import CicadawheelError
from cicadawheel.logs import log_event
from cicadawheel.release.controller import (
    STEP_MS,
    ReleaseController,
    make_release_controller,
)
from cicadawheel.release.evidence import ReleaseEvidence
from cicadawheel.timer import TimerService

log = logging.getLogger(__name__)

_decoder = msgspec.msgpack.Decoder(ReleaseEvidence)


class ReleaseLeader:
    """Passes evidence to a release controller and proposes its commands.

    Parameters
    ----------
    state : ControlState
        The replicated state of this replica.
    command_log : CommandLog
        The replicated log that commands are proposed to.
    timers : TimerService
        The source of time and of periodic callbacks.
    """

    def __init__(
        self, state: ControlState, command_log: CommandLog, timers: TimerService
    ):
        self.state = state
        self.log = command_log
        self.clock = timers.clock
        self._controller: ReleaseController | None = None
        self._proposals: set[asyncio.Task] = set()
        timers.every(STEP_MS, self.step)

    def leadership_changed(self, leads: bool) -> None:
        """Create a new controller on gaining leadership, or drop it on losing it."""
        self._controller = make_release_controller() if leads else None

    def take_evidence(self, data: bytes) -> None:
        """Handle the encoded evidence of a node."""
        if self._controller is not None:
            evidence = _decoder.decode(data)
            self._controller.add_report(self.state.configuration, evidence)

    def step(self, now_ms: float) -> None:
        """Propose the commands that are due."""
        if self._controller is None:
            return
        commands = self._controller.step(
            self.state.configuration,
            self.state.members.values(),
            self.clock.unix_ms(),
        )
        for command in commands:
            task = asyncio.ensure_future(self._propose(command))
            self._proposals.add(task)
            task.add_done_callback(self._proposals.discard)

    async def _propose(self, command: AdvanceRelease) -> None:
        fields = {
            "service": command.service,
            "version": command.version,
            "wanted": command.state.value,
            "share": command.share,
        }
        try:
            outcome = await self.log.propose(command)
        except CicadawheelError as error:
            log_event(log, "release_step_failed", reason=error, **fields)
            return
        if outcome.state is OutcomeState.DONE:
            log_event(log, "release_advanced", reason=command.reason, **fields)
        else:
            log_event(log, "release_step_refused", reason=outcome.message, **fields)
