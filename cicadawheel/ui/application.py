"""The application: all commands, and the options that they share."""

from cleo.application import Application
from cleo.helpers import option

from cicadawheel import __version__
from cicadawheel.timer import Clock, SystemClock
from cicadawheel.ui.answers import ANSWERS_COMMANDS
from cicadawheel.ui.control import CONTROL_COMMANDS
from cicadawheel.ui.explain import EXPLAIN_COMMANDS
from cicadawheel.ui.moves import MOVE_COMMANDS
from cicadawheel.ui.processes import PROCESS_COMMANDS

NAME = "cicadawheel"

CONTROL_OPTION = option(
    "control",
    description="Operator addresses of control: host:port, separated by commas. "
    "Default: the environment variable CICADAWHEEL_CONTROL.",
    flag=False,
)
TIMEOUT_OPTION = option(
    "timeout",
    description="How long control's replicas are tried, such as 10s.",
    flag=False,
    default="10s",
)


class OperatorApplication(Application):
    """The command line, with the clock that its commands read.

    Parameters
    ----------
    clock : Clock
        Where the time comes from.
    """

    def __init__(self, clock: Clock):
        super().__init__(NAME, __version__)
        self.clock = clock


def make_application(clock: Clock | None = None) -> OperatorApplication:
    """Return the application; it raises errors and doesn't end the process."""
    application = OperatorApplication(clock or SystemClock())
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.definition.add_option(CONTROL_OPTION)
    application.definition.add_option(TIMEOUT_OPTION)
    commands = (
        *PROCESS_COMMANDS,
        *ANSWERS_COMMANDS,
        *MOVE_COMMANDS,
        *CONTROL_COMMANDS,
        *EXPLAIN_COMMANDS,
    )
    for command in commands:
        application.add(command())
    return application
