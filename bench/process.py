"""Starts, signals and stops the processes of a deployment."""

import asyncio
import atexit
import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path

from cicadawheel.errors import CicadawheelError
from cicadawheel.timer import MS_PER_S

REPOSITORY = Path(__file__).resolve().parent.parent
POLL_MS = 10.0
STOP_TIMEOUT_MS = 10_000.0
PR_SET_PDEATHSIG = 1
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
LOG_TAIL_LINES = 15

_libc = ctypes.CDLL(None)


class ProcessEndedError(CicadawheelError):
    """A process of the bench exited unexpectedly."""


def _kill_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process that logs to a file.

    Parameters
    ----------
    name : str
        Its name in reports, and the stem of its log file.
    arguments : list of str
        The arguments after ``python -m``.
    folder : Path
        The folder of its log file.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f"{name}.log"
        self._popen: subprocess.Popen | None = None
        atexit.register(self.kill)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while it runs or before its start."""
        return None if self._popen is None else self._popen.poll()

    def start(self) -> None:
        """Start the process, or restart it if it has exited; a no-op while it runs."""
        if self.running:
            return
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                preexec_fn=_kill_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        if self.running:
            self._popen.kill()
            self._popen.wait()

    async def wait_ended(self, timeout_ms: float = STOP_TIMEOUT_MS) -> int:
        """Wait until the process exits, and return its exit code.

        Raises
        ------
        TimeoutError
            The process is still running after ``timeout_ms``.
        """
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            while self.running:
                await asyncio.sleep(POLL_MS / MS_PER_S)
        return self._popen.returncode

    def check_running(self) -> None:
        """Raise an error unless the process is running.

        Raises
        ------
        ProcessEndedError
            The process has exited; the message holds the last lines of its log.
        """
        if self.running:
            return
        code = None if self._popen is None else self._popen.returncode
        lines = self.log_path.read_text(errors="replace").splitlines()
        tail = "\n".join(lines[-LOG_TAIL_LINES:])
        text = f"the process ended with {code}:\n{tail}"
        raise ProcessEndedError(text, step="start", peer=self.name)

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far."""
        stat = Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ticks / TICKS_PER_S


async def stop_all(processes: list[Process]) -> None:
    """Stop processes with SIGCONT and SIGTERM, then SIGKILL after a time-out."""
    for process in processes:
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_MS / MS_PER_S):
            while any(process.running for process in processes):
                await asyncio.sleep(POLL_MS / MS_PER_S)
    except TimeoutError:
        for process in processes:
            process.kill()
