"""Settings of a process on the platform, with the limits that the platform sets.

The platform renders the templates in ``deploy/`` and writes its limits to a
``[bounds]`` section, under its own key names and units.
"""

import configparser
import math
from pathlib import Path

from cicadawheel.errors import SettingsError
from cicadawheel.settings import Settings, load_settings_text
from cicadawheel.timer import MS_PER_S

BOUNDS_SECTION = "bounds"

HELD_SHARE = 0.2
"""Share of a process's memory for what it holds for clients."""
BYTES_PER_MB = 1_048_576
CALLER_DESCRIPTOR_SHARE = 0.5
"""Share of a process's descriptors for the connections of callers."""

DRAIN_MARGIN_S = 0.8
"""Draining ends this long before the platform kills the process."""


def load_platform_settings(path: Path) -> Settings:
    """Load a settings file that the platform has rendered.

    Raises
    ------
    SettingsError
        The file can't be read, or has an unknown key or an invalid value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        text = " ".join(str(error).split())
        raise SettingsError(
            f"{path}: can't be read: {text}", step="settings"
        ) from error
    if parser.has_section(BOUNDS_SECTION):
        try:
            _translate_bounds(parser)
        except ValueError as error:
            raise SettingsError(
                f"{path}: [{BOUNDS_SECTION}]: {error}", step="settings"
            ) from error
        parser.remove_section(BOUNDS_SECTION)
    return load_settings_text(path, parser)


def _translate_bounds(parser: configparser.ConfigParser) -> None:
    """Copy the bounds to cicadawheel's own sections, keys and units."""
    bounds = parser[BOUNDS_SECTION]

    def set_value(section: str, key: str, value: float) -> None:
        if not parser.has_section(section):
            parser.add_section(section)
        if not math.isfinite(value):
            raise ValueError(f"{key} can't be {value}")
        parser.set(section, key, f"{value:g}")

    if "grace_s" in bounds:
        stop_s = bounds.getfloat("grace_s") - DRAIN_MARGIN_S
        set_value("node", "drain_timeout_ms", stop_s * MS_PER_S)
    if bounds.get("memory_mb"):
        held_mb = bounds.getfloat("memory_mb") * HELD_SHARE
        if not math.isfinite(held_mb):
            raise ValueError(f"memory_mb can't be {held_mb}")
        parser["holdings"] = {"held_bytes": str(int(held_mb * BYTES_PER_MB))}
    if bounds.get("max_fds"):
        connections = bounds.getint("max_fds") * CALLER_DESCRIPTOR_SHARE
        set_value("entry", "connection_limit", int(connections))
    if "retry_budget_ratio" in bounds:
        set_value("entry", "retry_share", bounds.getfloat("retry_budget_ratio"))
    if "budget_slack" in bounds:
        set_value("entry", "retry_slack", bounds.getfloat("budget_slack"))
    if "budget_window_s" in bounds:
        set_value(
            "entry", "retry_window_ms", bounds.getfloat("budget_window_s") * MS_PER_S
        )
    if "cold_overage" in bounds:
        set_value("gate", "cold_factor", bounds.getfloat("cold_overage"))
    if "exposure_share" in bounds:
        set_value("control", "release_share", bounds.getfloat("exposure_share"))
