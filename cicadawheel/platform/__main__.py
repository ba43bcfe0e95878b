"""Runs a process on the platform: ``python -m cicadawheel.platform node|control``."""

import os
import sys
from pathlib import Path

from cicadawheel.errors import CicadawheelError
from cicadawheel.platform.settings import load_platform_settings
from cicadawheel.settings import SettingsFile

SETTINGS_VARIABLE = "CICADAWHEEL_SETTINGS"
EXIT_REFUSED = 1
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run the process named by the arguments and return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    file = SettingsFile(path, load_platform_settings)
    try:
        if arguments == ["node"]:
            from cicadawheel.node import run_node
            from cicadawheel.platform import node
            from cicadawheel.platform.headers import PLATFORM_DIALECT

            return run_node(file.load(), PLATFORM_DIALECT, node.make_handler, file)
        if arguments == ["control"]:
            from cicadawheel.control.daemon import run_control
            from cicadawheel.platform import control

            return run_control(file.load(), control.make_handler, file)
    except CicadawheelError as error:
        print(f"cicadawheel: {error}", file=sys.stderr)
        return EXIT_REFUSED
    print("usage: python -m cicadawheel.platform node|control", file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
