"""The settings of a process on the platform: our own file, with the platform's bounds.

Our templates under ``deploy/`` are filled in by the platform, which writes its bounds
into a section of their own, under its own names.
"""

import configparser
from pathlib import Path

from cicadawheel.errors import SettingsError
from cicadawheel.settings import Settings, load_settings_text
from cicadawheel.timer import MS_PER_S

BOUNDS_SECTION = "bounds"

STOP_MARGIN_S = 0.8
"""A planned stop ends so long before the platform kills the process."""


def load_platform_settings(path: Path) -> Settings:
    """Return the settings in a file that the platform has filled in.

    Raises
    ------
    SettingsError
        The file can't be read, or holds a key or value that can't be used.
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
        _translate_bounds(parser)
        parser.remove_section(BOUNDS_SECTION)
    return load_settings_text(path, parser)


def _translate_bounds(parser: configparser.ConfigParser) -> None:
    """Write the bounds into our own sections, under our own names and units."""
    bounds = parser[BOUNDS_SECTION]

    def put(section: str, key: str, value: float) -> None:
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, f"{value:g}")

    if "grace_s" in bounds:
        stop_s = bounds.getfloat("grace_s") - STOP_MARGIN_S
        put("node", "drain_timeout_ms", stop_s * MS_PER_S)
    if "retry_budget_ratio" in bounds:
        put("entry", "retry_share", bounds.getfloat("retry_budget_ratio"))
    if "budget_slack" in bounds:
        put("entry", "retry_slack", bounds.getfloat("budget_slack"))
    if "budget_window_s" in bounds:
        put("entry", "retry_window_ms", bounds.getfloat("budget_window_s") * MS_PER_S)
    if "cold_overage" in bounds:
        put("gate", "cold_factor", bounds.getfloat("cold_overage"))
    if "exposure_share" in bounds:
        put("control", "release_share", bounds.getfloat("exposure_share"))
