"""Runs a daemon as a process: signals, log set-up and settings reload."""

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Protocol

from cicadawheel.errors import SettingsError
from cicadawheel.logs import configure_logs, log_event
from cicadawheel.settings import Settings, SettingsFile
from cicadawheel.timer import TimerService, make_timer_service

log = logging.getLogger(__name__)

EXIT_STOPPED = 0
# Interval of the check for a changed settings file, in case no SIGHUP is sent.
SETTINGS_CHECK_INTERVAL_MS = 1_000.0


class Daemon(Protocol):
    """A daemon that `run_daemon` can run."""

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain work in flight."""

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""


DaemonFactory = Callable[[Settings, TimerService], Daemon]


def run_daemon(
    settings: Settings, make_daemon: DaemonFactory, file: SettingsFile | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT, and return the exit code.

    The settings are reloaded at SIGHUP and when the file has changed.
    """
    configure_logs(settings.process.name, settings.process.log_level)
    asyncio.run(_run(settings, make_daemon, file))
    return EXIT_STOPPED


async def _run(
    settings: Settings, make_daemon: DaemonFactory, file: SettingsFile | None
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    timers = make_timer_service()
    daemon = make_daemon(settings, timers)

    def reload() -> None:
        _reload(daemon, file)

    def reload_if_changed(now_ms: float) -> None:
        if file is not None and file.has_changed():
            _reload(daemon, file)

    loop.add_signal_handler(signal.SIGHUP, reload)
    timers.every(SETTINGS_CHECK_INTERVAL_MS, reload_if_changed)
    await daemon.run(stop)


def _reload(daemon: Daemon, file: SettingsFile | None) -> None:
    if file is None:
        log_event(log, "settings_kept", reason="no settings file to reload")
        return
    try:
        settings = file.load()
    except SettingsError as error:
        log_event(log, "settings_refused", reason=error)
        return
    log_event(log, "settings_reloaded", path=file.path)
    daemon.reload(settings)
