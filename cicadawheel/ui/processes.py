"""Commands that run a process or check its settings."""

from pathlib import Path

from cleo.helpers import argument

from cicadawheel.settings import SettingsFile, load_settings
from cicadawheel.ui.base import BaseCommand

SETTINGS_ARGUMENT = argument("settings", "The settings file of the process.")


class NodeCommand(BaseCommand):
    """Runs a node."""

    name = "node"
    description = "Run the node beside an upstream."
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Run the node until it is stopped."""
        file = SettingsFile(Path(self.argument("settings")), load_settings)
        settings = file.load()
        from cicadawheel.node import run_node

        return run_node(settings, file=file)


class ControlProcessCommand(BaseCommand):
    """Runs a control replica."""

    name = "control"
    description = "Run a control replica."
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Run the replica until it is stopped."""
        file = SettingsFile(Path(self.argument("settings")), load_settings)
        settings = file.load()
        from cicadawheel.control.daemon import run_control

        return run_control(settings, file=file)


class SettingsCheckCommand(BaseCommand):
    """Checks a settings file."""

    name = "settings check"
    description = "Check a settings file."
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Check the file."""
        path = self.argument("settings")
        settings = load_settings(Path(path))
        self.show(f"{path}: correct, settings of {settings.process.name}")
        return 0


PROCESS_COMMANDS = (NodeCommand, ControlProcessCommand, SettingsCheckCommand)
