"""The command line application, its commands and global options."""

from cleo.application import Application
from cleo.helpers import option

from cicadawheel import __version__
from cicadawheel.timer import Clock, SystemClock
from cicadawheel.ui.answers import ANSWERS_COMMANDS
from cicadawheel.ui.control import CONTROL_COMMANDS
from cicadawheel.ui.explain import EXPLAIN_COMMANDS
from cicadawheel.ui.processes import PROCESS_COMMANDS
from cicadawheel.ui.traffic import TRAFFIC_COMMANDS

NAME = "cicadawheel"

CONTROL_OPTION = option(
    "control",
    description="Operator addresses of control: host:port, separated by commas. "
    "Default: the environment variable CICADAWHEEL_CONTROL.",
    flag=False,
)
TIMEOUT_OPTION = option(
    "timeout",
    description="How long to try control's replicas, such as 10s.",
    flag=False,
    default="10s",
)


class OperatorApplication(Application):
    """The command line application.

    Parameters
    ----------
    clock : Clock
        The clock that commands read.
    """

    def __init__(self, clock: Clock):
        super().__init__(NAME, __version__)
        self.clock = clock


def make_application(clock: Clock | None = None) -> OperatorApplication:
    """Return an application that raises errors and doesn't exit the process."""
    application = OperatorApplication(clock or SystemClock())
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.definition.add_option(CONTROL_OPTION)
    application.definition.add_option(TIMEOUT_OPTION)
    commands = (
        *PROCESS_COMMANDS,
        *ANSWERS_COMMANDS,
        *TRAFFIC_COMMANDS,
        *CONTROL_COMMANDS,
        *EXPLAIN_COMMANDS,
    )
    for command in commands:
        application.add(command())
    return application
