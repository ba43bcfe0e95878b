"""Commands for answers files and the configuration generated from them."""

from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from cicadawheel.answers import (
    difference,
    explain,
    explain_configuration,
    generate_configuration,
    new_answers_text,
    read_answers,
)
from cicadawheel.control.command import ApplyConfiguration
from cicadawheel.operator import OperatorClient
from cicadawheel.ui.base import COMMAND_OPTIONS, BaseCommand, ControlCommand
from cicadawheel.ui.parsing import InputError

FILE_ARGUMENT = argument("file", "The answers file.")


class AnswersNewCommand(BaseCommand):
    """Prints or writes a new questionnaire."""

    name = "answers new"
    description = "Print a commented questionnaire, or write it to a new file."
    arguments = [argument("file", "The file to write.", optional=True)]

    def handle(self) -> int:
        """Print or write the questionnaire."""
        path = self.argument("file")
        if path is None:
            self.show(new_answers_text().rstrip("\n"))
            return 0
        try:
            with open(path, "x", encoding="utf-8") as file:
                file.write(new_answers_text())
        except OSError as error:
            raise InputError(f"{path}: can't be written: {error.strerror}") from None
        self.show(f"{path}: written; fill it in, then check it")
        return 0


class AnswersCheckCommand(BaseCommand):
    """Validates an answers file and explains it."""

    name = "answers check"
    description = "Check an answers file and explain it."
    arguments = [FILE_ARGUMENT]

    def handle(self) -> int:
        """Check the file."""
        path = self.argument("file")
        self.show(*explain(read_answers(Path(path))), f"{path}: correct")
        return 0


class AnswersGenerateCommand(BaseCommand):
    """Prints the configuration generated from an answers file."""

    name = "answers generate"
    description = "Print the configuration generated from an answers file, as JSON."
    arguments = [FILE_ARGUMENT]

    def handle(self) -> int:
        """Print the configuration."""
        answers = read_answers(Path(self.argument("file")))
        data = msgspec.json.encode(generate_configuration(answers))
        self.show(msgspec.json.format(data).decode())
        return 0


class AnswersShowCommand(ControlCommand):
    """Explains the configuration in force."""

    name = "answers show"
    description = "Explain the configuration that control holds."

    async def run_with_client(self, client: OperatorClient) -> int:
        """Print the revision and the explanation."""
        configuration = await client.configuration()
        self.show(f"revision {configuration.revision}")
        self.show(*explain_configuration(configuration))
        return 0


class AnswersApplyCommand(ControlCommand):
    """Applies an answers file."""

    name = "answers apply"
    description = "Show what an answers file changes, then apply it."
    arguments = [FILE_ARGUMENT]
    options = [
        option("yes", "y", "Apply without asking."),
        *COMMAND_OPTIONS,
    ]

    async def run_with_client(self, client: OperatorClient) -> int:
        """Show the difference, ask for confirmation, and apply."""
        new = generate_configuration(read_answers(Path(self.argument("file"))))
        current = await client.configuration()
        lines = difference(current, new)
        self.show(*(lines or [f"no difference from revision {current.revision}"]))
        if not lines and not self.option("operation"):
            return 0
        if not self._is_confirmed():
            self.show("not applied")
            return 1
        given = self.revision_option()
        command = ApplyConfiguration(
            now_ms=0,
            operation=self.operation_id(),
            expected_revision=current.revision if given is None else given,
            configuration=new,
        )
        outcome = await client.send(command)
        self.show_outcome("answers are applied", outcome)
        await self.wait_if_requested(client, outcome.revision)
        return 0

    def _is_confirmed(self) -> bool:
        if self.option("yes"):
            return True
        if not self.io.is_interactive():
            raise InputError(
                "can't ask for confirmation without a terminal: give --yes to apply"
            )
        return self.confirm("Apply this?")


ANSWERS_COMMANDS = (
    AnswersNewCommand,
    AnswersCheckCommand,
    AnswersGenerateCommand,
    AnswersShowCommand,
    AnswersApplyCommand,
)
