"""Lists the differences between two configurations."""

from enum import Enum
from typing import Any

import msgspec

from cicadawheel.answers.model import DEFAULT_ROUTE_PREFIX
from cicadawheel.answers.text import number_text
from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    RepeatRule,
    RouteRule,
    ServiceRule,
    find_route,
)

FIELDS_KEPT_BY_CONTROL = frozenset({"state", "state_revision", "current_version"})
WRITE_METHODS = ("POST", "PUT", "PATCH", "DELETE")


def difference(old: Configuration, new: Configuration) -> list[str]:
    """Return one line for each change that applying the answers makes.

    Values that control keeps when answers are applied are omitted: the states of
    data centres, the releases, and the current versions. Lines begin with ``+`` for
    additions, ``-`` for removals, ``~`` for changes, and ``!`` for warnings: requests
    that ran at most once and may now be repeated, and data centres that are out and
    missing from the new answers.
    """
    lines = _compare_data_centres(old.data_centres, new.data_centres)
    lines += _compare_services(old.services, new.services)
    lines += _compare_fields("measuring", old.measuring, new.measuring, ())
    return lines


def _compare_data_centres(
    old: dict[str, DataCentreRule], new: dict[str, DataCentreRule]
) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        label = f"data centre {name}"
        if name not in old:
            lines.append(f"+ {label}")
        elif name in new:
            lines += _compare_fields(
                label, old[name], new[name], FIELDS_KEPT_BY_CONTROL
            )
        else:
            lines += _describe_removal(label, old[name])
    return lines


def _describe_removal(label: str, data_centre: DataCentreRule) -> list[str]:
    if data_centre.state is DataCentreState.OUT:
        return [
            f"! {label}: is out, and stays out although it is missing from the answers"
        ]
    return [f"- {label}"]


def _compare_services(
    old: dict[str, ServiceRule], new: dict[str, ServiceRule]
) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        label = f"service {name}"
        if name not in new:
            lines.append(f"- {label}")
            continue
        before = old.get(name)
        if before is None:
            lines.append(f"+ {label}")
            lines += [
                f"+ {label} route {route.name}: {_describe_route(route)}"
                for route in new[name].routes
                if not _is_default(route)
            ]
        else:
            lines += _compare_service(label, before, new[name])
    return lines


def _compare_service(label: str, old: ServiceRule, new: ServiceRule) -> list[str]:
    ignored_fields = FIELDS_KEPT_BY_CONTROL | {"routes", "habits"}
    lines = _compare_fields(label, old, new, ignored_fields)
    lines += _compare_routes(
        label, _without_inherited_deadlines(old), _without_inherited_deadlines(new)
    )
    lines += _compare_fields(f"{label} release habits", old.habits, new.habits, ())
    return lines + _repeat_warnings(label, old, new)


def _without_inherited_deadlines(service: ServiceRule) -> list[RouteRule]:
    """Return the routes, with inherited deadlines of default routes cleared."""
    return [
        msgspec.structs.replace(route, deadline_ms=0.0)
        if _is_default(route) and route.deadline_ms == service.deadline_ms
        else route
        for route in service.routes
    ]


def _is_default(route: RouteRule) -> bool:
    return route.name.startswith(DEFAULT_ROUTE_PREFIX)


def _compare_routes(
    label: str, old: list[RouteRule], new: list[RouteRule]
) -> list[str]:
    before = {route.name: route for route in old}
    after = {route.name: route for route in new}
    lines = []
    for name, route in before.items():
        if name not in after:
            lines.append(f"- {label} route {name}: {_describe_route(route)}")
    for name, route in after.items():
        route_label = f"{label} route {name}"
        if name not in before:
            lines.append(f"+ {route_label}: {_describe_route(route)}")
        else:
            lines += _compare_fields(route_label, before[name], route, ())
    return lines


def _repeat_warnings(label: str, old: ServiceRule, new: ServiceRule) -> list[str]:
    """Return a warning for each kind of request that may now run more than once."""
    kinds = {
        kind for route in (*old.routes, *new.routes) for kind in _request_kinds(route)
    }
    lines = []
    for method, path in sorted(kinds):
        before = find_route(old, method, path)
        after = find_route(new, method, path)
        if _never_repeats(before) and not _never_repeats(after):
            where = f"{method} {path or 'any other path'}"
            lines.append(f"! {label}: {where} may now run more than once")
    return lines


def _request_kinds(route: RouteRule) -> list[tuple[str, str]]:
    methods = WRITE_METHODS if route.method == "*" else (route.method,)
    return [(method, route.path_prefix) for method in methods]


def _never_repeats(route: RouteRule | None) -> bool:
    return route is None or route.repeat is RepeatRule.NEVER


def _describe_route(route: RouteRule) -> str:
    where = route.path_prefix or "any path"
    deadline = f"deadline {number_text(route.deadline_ms)} ms"
    return f"{route.method} {where}, {route.repeat.value}, {deadline}"


def _compare_fields(
    label: str, old: msgspec.Struct, new: msgspec.Struct, ignored_fields
) -> list[str]:
    lines = []
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if field not in ignored_fields and before != after:
            lines.append(f"~ {label}: {field} {_format(before)} -> {_format(after)}")
    return lines


def _format(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, float):
        return number_text(value)
    if isinstance(value, dict):
        pairs = [f"{key} {_format(item)}" for key, item in sorted(value.items())]
        return ", ".join(pairs) or "none"
    return str(value)
