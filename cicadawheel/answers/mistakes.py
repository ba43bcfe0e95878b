"""Mistakes in an answers file, each reported in one line."""

import msgspec

from cicadawheel.errors import SettingsError


class Mistake(msgspec.Struct, frozen=True):
    """One invalid answer, its location, and how to correct it.

    ``section`` is empty if the mistake concerns the whole file, and ``field`` if it
    concerns a whole section.
    """

    section: str
    field: str
    value: str
    remedy: str

    def line(self, path: str) -> str:
        """Return the mistake as one line that begins with the file name."""
        location = f"{path}:"
        if self.section:
            location += f" [{self.section}]"
        if self.field:
            location += f" {self.field}"
        if self.value:
            location += f" = {self.value}"
        text = f"{location.removesuffix(':')}: {self.remedy}"
        return " ".join(text.split())


class AnswersError(SettingsError):
    """An answers file contains mistakes and is rejected as a whole.

    Parameters
    ----------
    path : str
        The path of the file.
    mistakes : tuple of Mistake
        All mistakes that were found.
    """

    def __init__(self, path: str, mistakes: tuple[Mistake, ...]):
        lines = [mistake.line(path) for mistake in mistakes]
        super().__init__("\n".join(lines), step="answers", peer=path)
        self.mistakes = mistakes

    def __str__(self) -> str:
        """Return one line for each mistake."""
        return self.message
