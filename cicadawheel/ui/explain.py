"""The command that explains what became of a request."""

from pathlib import Path

from cleo.helpers import argument

from cicadawheel.explain import explain
from cicadawheel.ui.base import BaseCommand
from cicadawheel.ui.values import InputError


class ExplainCommand(BaseCommand):
    """Explains one request from logs."""

    name = "explain"
    description = "Explain from the logs of processes what became of a request."
    arguments = [
        argument("request", "The request's id."),
        argument("logs", "The logs, of any number of processes.", multiple=True),
    ]

    def handle(self) -> int:
        """Print the request's path and its cause."""
        texts = []
        for name in self.argument("logs"):
            texts += _read(Path(name))
        told = explain(self.argument("request"), texts)
        if not told.lines:
            raise InputError(f"request {told.request}: no line of these logs names it")
        self.show(*map(str, told.lines), f"cause: {told.cause}")
        return 0


def _read(path: Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error.strerror}") from error


EXPLAIN_COMMANDS = (ExplainCommand,)
