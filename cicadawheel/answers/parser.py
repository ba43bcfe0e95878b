"""Parses an answers file and collects all its mistakes."""

import configparser
import difflib
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec

from cicadawheel.answers.checks import check_answers
from cicadawheel.answers.mistakes import AnswersError, Mistake
from cicadawheel.answers.model import (
    NAME_PATTERN,
    NAME_REMEDY,
    Answers,
    DataCentreAnswers,
    DistanceMs,
    Distances,
    MeasuringAnswers,
    ReleaseAnswers,
    RouteAnswers,
    ServiceAnswers,
)
from cicadawheel.errors import SettingsError

EXAMPLE_ANSWERS = Path(__file__).with_name("questionnaire.ini")
NO_DEFAULT_SECTION = ""


class SectionKind(msgspec.Struct, frozen=True):
    """One kind of section: the names in its title, and the type of its fields.

    ``collected_in`` is the field of `Answers` that holds these sections.
    """

    title: str
    names: tuple[str, ...]
    struct: type[msgspec.Struct]
    collected_in: str


SECTION_KINDS = {
    kind.title: kind
    for kind in (
        SectionKind("data-centre", ("name",), DataCentreAnswers, "data_centres"),
        SectionKind("service", ("name",), ServiceAnswers, "services"),
        SectionKind("route", ("service", "name"), RouteAnswers, "routes"),
        SectionKind("release-habits", ("service",), ReleaseAnswers, "release_habits"),
        SectionKind("measuring", (), MeasuringAnswers, "measuring"),
    )
}


def new_answers_text() -> str:
    """Return a commented example of an answers file."""
    return EXAMPLE_ANSWERS.read_text(encoding="utf-8")


def read_answers(path: Path) -> Answers:
    """Return the validated answers of a file.

    Raises
    ------
    AnswersError
        The file contains mistakes; the error lists all of them.
    SettingsError
        The file can't be read.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}", step="answers") from None
    mistakes: list[Mistake] = []
    parser = _parse_ini(str(path), text)
    collected = _collect_sections(parser, mistakes)
    measuring = collected.pop("measuring")
    answers = Answers(
        **{name: tuple(items) for name, items in collected.items()},
        measuring=measuring[0] if measuring else MeasuringAnswers(),
    )
    mistakes += check_answers(answers, _section_titles(parser))
    if mistakes:
        raise AnswersError(str(path), tuple(mistakes))
    return answers


def _parse_ini(path: str, text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section=NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        raise AnswersError(path, (_syntax_mistake(error),)) from None
    return parser


def _syntax_mistake(error: configparser.Error) -> Mistake:
    if isinstance(error, configparser.DuplicateSectionError):
        remedy = f"line {error.lineno} repeats the section; keep one of the two"
        return Mistake(error.section, "", "", remedy)
    if isinstance(error, configparser.DuplicateOptionError):
        remedy = f"line {error.lineno} repeats the field; keep one of the two"
        return Mistake(error.section, error.option, "", remedy)
    if isinstance(error, configparser.MissingSectionHeaderError):
        remedy = f"line {error.lineno} comes before the first [section]; move it below"
        return Mistake("", "", "", remedy)
    lines = ", ".join(str(lineno) for lineno, _ in error.errors)
    remedy = f"line {lines}: not a [section], a field = value, or a # comment"
    return Mistake("", "", "", remedy)


def _collect_sections(
    parser: configparser.ConfigParser, mistakes: list[Mistake]
) -> dict[str, list[Any]]:
    collected = {kind.collected_in: [] for kind in SECTION_KINDS.values()}
    seen: set[tuple[str, ...]] = set()
    for section in parser.sections():
        words = tuple(section.split())
        kind = _find_kind(section, mistakes)
        if kind is None:
            continue
        if words in seen:
            remedy = "the section is repeated; keep one of the two"
            mistakes.append(Mistake(section, "", "", remedy))
            continue
        seen.add(words)
        item = _read_section(section, kind, dict(parser.items(section)), mistakes)
        if item is not None:
            collected[kind.collected_in].append(item)
    return collected


def _section_titles(parser: configparser.ConfigParser) -> frozenset[tuple[str, ...]]:
    return frozenset(tuple(section.split()) for section in parser.sections())


def _find_kind(section: str, mistakes: list[Mistake]) -> SectionKind | None:
    title, *names = section.split() or [""]
    kind = SECTION_KINDS.get(title)
    if kind is None:
        remedy = f"unknown section; {_suggest(title, SECTION_KINDS)}"
        mistakes.append(Mistake(section, "", "", remedy))
        return None
    if len(names) != len(kind.names):
        form = " ".join([kind.title, *(name.upper() for name in kind.names)])
        mistakes.append(Mistake(section, "", "", f"write the section as [{form}]"))
        return None
    invalid = [name for name in names if not re.match(NAME_PATTERN, name)]
    for name in invalid:
        mistakes.append(Mistake(section, "name", name, NAME_REMEDY))
    return None if invalid else kind


def _read_section(
    section: str,
    kind: SectionKind,
    texts: dict[str, str],
    mistakes: list[Mistake],
) -> msgspec.Struct | None:
    hints = get_type_hints(kind.struct, include_extras=True)
    values = dict(zip(kind.names, section.split()[1:], strict=True))
    fields = [name for name in hints if name not in kind.names]
    mistakes_before = len(mistakes)
    for name in texts:
        if name not in fields:
            remedy = f"unknown field; {_suggest(name, fields)}"
            mistakes.append(Mistake(section, name, "", remedy))
    required = _required_fields(kind.struct)
    for name in fields:
        text = " ".join(texts.get(name, "").split())
        if text:
            _read_field(section, name, text, hints[name], values, mistakes)
        elif name in texts or name in required:
            remedy = f"no answer; {_remedy(hints[name])}"
            mistakes.append(Mistake(section, name, "", remedy))
    return kind.struct(**values) if len(mistakes) == mistakes_before else None


def _required_fields(struct: type[msgspec.Struct]) -> set[str]:
    fields = msgspec.structs.fields(struct)
    return {field.name for field in fields if field.required}


def _read_field(section, name, text, hint, values, mistakes) -> None:
    try:
        if hint is Distances:
            values[name] = _parse_distances(text)
        else:
            values[name] = msgspec.convert(text, hint, strict=False)
    except (ValueError, msgspec.ValidationError):
        mistakes.append(Mistake(section, name, text, _remedy(hint)))


def _parse_distances(text: str) -> dict[str, float]:
    distances = {}
    for item in text.split(","):
        name, _, number = item.strip().rpartition(" ")
        if not name or name in distances:
            raise ValueError(item)
        distances[name] = msgspec.convert(number, DistanceMs, strict=False)
    return distances


def _remedy(hint: Any) -> str:
    for part in (hint, *get_args(hint)):
        for metadata in getattr(part, "__metadata__", ()):
            if metadata.description:
                return metadata.description
    raise TypeError(f"{hint} has no description")


def _suggest(word: str, known: Iterable[str]) -> str:
    known = list(known)
    matches = difflib.get_close_matches(word, known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    return f"give one of {', '.join(known)}"
