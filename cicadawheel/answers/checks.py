"""Consistency checks across the sections of an answers file."""

from collections.abc import Iterator
from itertools import combinations

from cicadawheel.answers.mistakes import Mistake
from cicadawheel.answers.model import (
    DEFAULT_ROUTE_PREFIX,
    Answers,
    DataCentreAnswers,
)
from cicadawheel.answers.text import number_text

Title = tuple[str, ...]


def check_answers(answers: Answers, titles: frozenset[Title]) -> list[Mistake]:
    """Return the mistakes that involve more than one section.

    Parameters
    ----------
    answers : Answers
        The sections that are valid by themselves.
    titles : frozenset of tuple of str
        The titles of all sections, so that an invalid section isn't also reported
        as missing.
    """
    return [
        *_check_required_sections(titles),
        *_check_services(answers, titles),
        *_check_routes(answers),
        *_check_distances(answers, titles),
    ]


def _check_required_sections(titles: frozenset[Title]) -> Iterator[Mistake]:
    for kind in ("data-centre", "service"):
        if not any(title and title[0] == kind for title in titles):
            remedy = f"no [{kind} NAME] section; give at least one"
            yield Mistake("", "", "", remedy)


def _check_services(answers: Answers, titles: frozenset[Title]) -> Iterator[Mistake]:
    services = [
        title[1] for title in titles if len(title) == 2 and title[0] == "service"
    ]
    known = ", ".join(sorted(services)) or "none"
    sections = [(f"route {r.service} {r.name}", r.service) for r in answers.routes]
    sections += [
        (f"release-habits {h.service}", h.service) for h in answers.release_habits
    ]
    for section, service in sections:
        if service not in services:
            remedy = f"no such service; the services of this file are {known}"
            yield Mistake(section, "service", service, remedy)


def _check_routes(answers: Answers) -> Iterator[Mistake]:
    seen: dict[tuple[str, str, str], str] = {}
    for route in answers.routes:
        if route.name.startswith(DEFAULT_ROUTE_PREFIX):
            section = f"route {route.service} {route.name}"
            remedy = f"names that begin with {DEFAULT_ROUTE_PREFIX} are taken"
            yield Mistake(section, "name", route.name, remedy)
        key = (route.service, route.method, route.path_prefix)
        if key in seen:
            section = f"route {route.service} {route.name}"
            remedy = (
                f"[route {route.service} {seen[key]}] has the same method and "
                "path_prefix; keep one of the two"
            )
            yield Mistake(section, "path_prefix", route.path_prefix, remedy)
        seen.setdefault(key, route.name)


def _check_distances(answers: Answers, titles: frozenset[Title]) -> Iterator[Mistake]:
    known = {
        title[1] for title in titles if len(title) == 2 and title[0] == "data-centre"
    }
    for data_centre in answers.data_centres:
        yield from _check_distance_names(data_centre, known)
    for first, second in combinations(answers.data_centres, 2):
        yield from _check_distance_pair(first, second)


def _check_distance_names(
    data_centre: DataCentreAnswers, known: set[str]
) -> Iterator[Mistake]:
    section = f"data-centre {data_centre.name}"
    others = ", ".join(sorted(known - {data_centre.name})) or "none"
    for name in data_centre.distance_ms:
        if name == data_centre.name or name not in known:
            remedy = f"not another data centre of this file; the others are {others}"
            yield Mistake(section, "distance_ms", name, remedy)


def _check_distance_pair(
    first: DataCentreAnswers, second: DataCentreAnswers
) -> Iterator[Mistake]:
    forward_ms = first.distance_ms.get(second.name)
    reverse_ms = second.distance_ms.get(first.name)
    section = f"data-centre {second.name}"
    if forward_ms is None and reverse_ms is None:
        remedy = f"no distance to {first.name}; add such as: {first.name} 1.5"
        yield Mistake(section, "distance_ms", "", remedy)
    elif None not in (forward_ms, reverse_ms) and forward_ms != reverse_ms:
        remedy = (
            f"[data-centre {first.name}] gives {number_text(forward_ms)} for the same "
            "pair; give one distance, or the same one twice"
        )
        yield Mistake(
            section, "distance_ms", f"{first.name} {number_text(reverse_ms)}", remedy
        )
