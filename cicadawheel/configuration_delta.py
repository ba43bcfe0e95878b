"""Differences between configurations, so that only changes need to be sent."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from cicadawheel.configuration import (
    CallerLimits,
    Configuration,
    DataCentreRule,
    HostRoute,
    MeasuringBudget,
    ReleaseRule,
    Routing,
    ServiceRule,
    Withdrawal,
)
from cicadawheel.ids import DataCentreName, Revision, RouteName, ServiceName


class ConfigurationDelta(msgspec.Struct, frozen=True, array_like=True):
    """The changes from one configuration to a newer one.

    ``withdrawn``, ``measuring``, ``callers`` and ``routing`` are None if they are
    unchanged.
    """

    revision: Revision
    services: tuple[ServiceRule, ...]
    services_gone: tuple[ServiceName, ...]
    data_centres: tuple[DataCentreRule, ...]
    data_centres_gone: tuple[DataCentreName, ...]
    releases: tuple[ReleaseRule, ...]
    releases_gone: tuple[ServiceName, ...]
    withdrawn: tuple[Withdrawal, ...] | None
    measuring: MeasuringBudget | None
    routes: tuple[HostRoute, ...] = ()
    routes_gone: tuple[RouteName, ...] = ()
    callers: CallerLimits | None = None
    routing: Routing | None = None


def make_delta(old: Configuration, new: Configuration) -> ConfigurationDelta:
    """Return the changes from one configuration to another."""
    old_releases = _by_service(old.releases)
    new_releases = _by_service(new.releases)
    return ConfigurationDelta(
        revision=new.revision,
        services=_changed(old.services, new.services),
        services_gone=_removed(old.services, new.services),
        data_centres=_changed(old.data_centres, new.data_centres),
        data_centres_gone=_removed(old.data_centres, new.data_centres),
        releases=_changed(old_releases, new_releases),
        releases_gone=_removed(old_releases, new_releases),
        withdrawn=None if old.withdrawn == new.withdrawn else new.withdrawn,
        measuring=None if old.measuring == new.measuring else new.measuring,
        routes=_changed(old.routes, new.routes),
        routes_gone=_removed(old.routes, new.routes),
        callers=None if old.callers == new.callers else new.callers,
        routing=None if old.routing is new.routing else new.routing,
    )


def apply_delta(old: Configuration, delta: ConfigurationDelta) -> Configuration:
    """Return a configuration with a delta applied."""
    services = _merge(old.services, delta.services, delta.services_gone)
    data_centres = _merge(old.data_centres, delta.data_centres, delta.data_centres_gone)
    changed = _by_service(delta.releases)
    replaced = {*delta.releases_gone, *changed}
    kept = tuple(release for release in old.releases if release.service not in replaced)
    return Configuration(
        revision=delta.revision,
        services=services,
        data_centres=data_centres,
        releases=(*kept, *delta.releases),
        withdrawn=old.withdrawn if delta.withdrawn is None else delta.withdrawn,
        measuring=old.measuring if delta.measuring is None else delta.measuring,
        routes=_merge(old.routes, delta.routes, delta.routes_gone),
        callers=old.callers if delta.callers is None else delta.callers,
        routing=old.routing if delta.routing is None else delta.routing,
    )


def _by_service(releases: Iterable[ReleaseRule]) -> dict[ServiceName, ReleaseRule]:
    return {release.service: release for release in releases}


def _changed(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple:
    return tuple(rule for name, rule in new.items() if old.get(name) != rule)


def _removed(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple:
    return tuple(name for name in old if name not in new)


def _merge(
    old: Mapping[str, Any], changed: Iterable[Any], removed: Iterable[str]
) -> dict[str, Any]:
    merged = {**old, **{rule.name: rule for rule in changed}}
    for name in removed:
        merged.pop(name, None)
    return merged
