"""The command that explains the outcome of a request."""

from pathlib import Path

from cleo.helpers import argument

from cicadawheel.explain import explain
from cicadawheel.ui.base import BaseCommand
from cicadawheel.ui.parsing import InputError


class ExplainCommand(BaseCommand):
    """Explains the outcome of a request from logs."""

    name = "explain"
    description = "Explain the outcome of a request from the logs of processes."
    arguments = [
        argument("request", "The request's id."),
        argument("logs", "The logs, of any number of processes.", multiple=True),
    ]

    def handle(self) -> int:
        """Print the request's log lines and the cause."""
        texts = []
        for name in self.argument("logs"):
            texts += _read_log(Path(name))
        explanation = explain(self.argument("request"), texts)
        if not explanation.lines:
            raise InputError(
                f"request {explanation.request}: no line of these logs names it"
            )
        self.show(*map(str, explanation.lines), f"cause: {explanation.cause}")
        return 0


def _read_log(path: Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error.strerror}") from error


EXPLAIN_COMMANDS = (ExplainCommand,)
