"""The command line interface."""

import sys

from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from cicadawheel.errors import CicadawheelError, CorruptionError, SettingsError
from cicadawheel.timer import Clock
from cicadawheel.ui.application import NAME, make_application
from cicadawheel.ui.parsing import InputError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CORRUPT = 3


def main(arguments: list[str] | None = None, clock: Clock | None = None) -> int:
    """Run the command line and return the exit code.

    Parameters
    ----------
    arguments : list of str, optional
        The arguments after the program's name; by default those of the process.
    clock : Clock, optional
        The clock that commands read; by default the system clock.
    """
    given = sys.argv[1:] if arguments is None else arguments
    command_input = ArgvInput([NAME, *given])
    command_input.set_stream(sys.stdin)
    try:
        return make_application(clock).run(command_input)
    except (SettingsError, InputError) as error:
        return _show_error(error.message, EXIT_USAGE)
    except CleoError as error:
        return _show_error(" ".join(str(error).split()), EXIT_USAGE)
    except CorruptionError as error:
        return _show_error(str(error), EXIT_CORRUPT)
    except CicadawheelError as error:
        return _show_error(str(error), EXIT_FAILED)


def _show_error(message: str, exit_code: int) -> int:
    for line in filter(None, message.splitlines()):
        print(f"{NAME}: {line.strip()}", file=sys.stderr)
    return exit_code
