"""A supervisor tree that restarts failed tasks with exponential back-off.

A task that fails too often fails its supervisor; a final error does so at once.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from cicadawheel.errors import CicadawheelError
from cicadawheel.logs import log_event
from cicadawheel.timer import MS_PER_S, Clock

log = logging.getLogger(__name__)

MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 2_000.0


class ChildState(Enum):
    """The state of a supervised task."""

    RUNNING = "running"
    WAITING = "waiting"
    ENDED = "ended"
    GIVEN_UP = "given up"


class ChildReport(msgspec.Struct, frozen=True):
    """The status of one supervised task, for the dump."""

    name: str
    state: ChildState
    restarts: int
    last_error: str


class SupervisorError(CicadawheelError):
    """A supervised task exceeded its restart limit."""


class _Child:
    def __init__(self, name: str, start: Callable[[], Awaitable[None]]):
        self.name = name
        self.start = start
        self.state = ChildState.RUNNING
        self.failure_times_ms: list[float] = []
        self.restarts = 0
        self.last_error = ""


class Supervisor:
    """Runs and restarts named tasks; it can itself be a task of another supervisor.

    Parameters
    ----------
    name : str
        The name of this supervisor in logs and errors.
    clock : Clock
        The time source for the failure window.
    restart_limit : int
        The supervisor fails when one task fails more often than this within
        ``window_ms``.
    window_ms : float
        The period in which failures are counted.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        restart_limit: int = 10,
        window_ms: float = 30_000.0,
    ):
        self.name = name
        self.clock = clock
        self.restart_limit = restart_limit
        self.window_ms = window_ms
        self._children: list[_Child] = []
        self._task_group: asyncio.TaskGroup | None = None

    def add(self, name: str, start: Callable[[], Awaitable[None]]) -> None:
        """Add a task; it starts with `run`, or at once if that is already running."""
        child = _Child(name, start)
        self._children.append(child)
        if self._task_group is not None:
            self._task_group.create_task(self._run_child(child), name=child.name)

    async def run(self) -> None:
        """Run all tasks until they have ended.

        Raises
        ------
        SupervisorError
            A task exceeded the restart limit.
        CicadawheelError
            A task failed with a final error.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self._task_group = group
                for child in self._children:
                    group.create_task(self._run_child(child), name=child.name)
        except* CicadawheelError as errors:
            raise errors.exceptions[0] from None
        finally:
            self._task_group = None

    def report(self) -> list[ChildReport]:
        """Return the status of each task."""
        return [
            ChildReport(child.name, child.state, child.restarts, child.last_error)
            for child in self._children
        ]

    async def _run_child(self, child: _Child) -> None:
        while True:
            child.state = ChildState.RUNNING
            try:
                await child.start()
            except Exception as error:  # noqa: BLE001
                await self._back_off(child, error)
            else:
                child.state = ChildState.ENDED
                return

    async def _back_off(self, child: _Child, error: Exception) -> None:
        now_ms = self.clock.now_ms()
        recent = [
            time_ms
            for time_ms in child.failure_times_ms
            if now_ms - time_ms < self.window_ms
        ]
        child.failure_times_ms = [*recent, now_ms]
        child.last_error = f"{type(error).__name__}: {error}"
        failures = len(child.failure_times_ms)
        log.warning(
            "task_failed",
            extra={
                "event": "task_failed",
                "task": f"{self.name}/{child.name}",
                "failures": failures,
                "reason": child.last_error,
            },
            exc_info=not isinstance(error, CicadawheelError),
        )
        if isinstance(error, CicadawheelError) and error.is_final:
            child.state = ChildState.GIVEN_UP
            raise error
        if failures > self.restart_limit:
            child.state = ChildState.GIVEN_UP
            raise SupervisorError(
                f"task failed {failures} times: {child.last_error}",
                step="supervise",
                peer=f"{self.name}/{child.name}",
            ) from error
        child.state = ChildState.WAITING
        child.restarts += 1
        delay_ms = min(MIN_BACKOFF_MS * 2 ** (failures - 1), MAX_BACKOFF_MS)
        await asyncio.sleep(delay_ms / MS_PER_S)


async def run_until_stopped(
    stop: asyncio.Event, supervisor: Supervisor, drain: Callable[[], Awaitable[None]]
) -> None:
    """Run a supervisor until it ends, or until ``stop`` is set and drained.

    The tasks keep running during ``drain``.
    """
    running = asyncio.ensure_future(supervisor.run())
    stopping = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if running.done():
            running.result()
        else:
            await drain()
    finally:
        running.cancel()
        stopping.cancel()
        await asyncio.gather(running, stopping, return_exceptions=True)
        log_event(log, "supervisor_ended", task=supervisor.name)
