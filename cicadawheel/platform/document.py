"""Decoding of the platform's configuration document into cicadawheel's rules."""

from typing import Literal

import msgspec

from cicadawheel.configuration import (
    CallerLimits,
    Configuration,
    DataCentreRule,
    HostRoute,
    MeasuringBudget,
    ReleaseHabits,
    RepeatRule,
    ServiceRule,
    ServiceShare,
)
from cicadawheel.ids import DataCentreName, RouteName, ServiceName
from cicadawheel.platform.bodies import (
    FiniteNumber,
    SafeInteger,
    Seconds,
    canonical_json,
    decode_body,
)
from cicadawheel.timer import MS_PER_S

REPEAT_RULE_BY_ROUTE_TYPE = {
    "idempotent": RepeatRule.REPEATABLE,
    "download": RepeatRule.REPEATABLE,
    "non_idempotent": RepeatRule.ONCE,
    "upload": RepeatRule.ONCE,
}


class ServiceBody(msgspec.Struct, frozen=True):
    """One service of a document."""

    name: str
    health_path: str = "/health"
    max_connections: SafeInteger = 100
    cold_start_s: Seconds = 0.0
    cold_per_s: FiniteNumber = 0.0


class ShareBody(msgspec.Struct, frozen=True):
    """A service's weight in a route."""

    service: str
    weight: FiniteNumber


class PathBody(msgspec.Struct, frozen=True):
    """One route, to a single ``service`` or to several with weights.

    ``target_latency_s`` is measured from the caller's first attempt.
    """

    path_prefix: str
    route_type: Literal["idempotent", "non_idempotent", "upload", "download"]
    timeout_s: Seconds
    target_latency_s: Seconds
    max_attempts: SafeInteger
    name: str = ""
    priority: SafeInteger = 0
    service: str = ""
    weighted_clusters: tuple[ShareBody, ...] = ()

    def shares(self) -> tuple[ServiceShare, ...]:
        """Return the route's services with their weights."""
        if not self.weighted_clusters:
            return (ServiceShare(ServiceName(self.service), 1.0),)
        return tuple(
            ServiceShare(ServiceName(share.service), share.weight)
            for share in self.weighted_clusters
        )


class HostBody(msgspec.Struct, frozen=True):
    """The routes of one host."""

    host: str
    paths: tuple[PathBody, ...]


class LimitsBody(msgspec.Struct, frozen=True):
    """Limits on requests and idle connections of callers."""

    max_header_bytes: SafeInteger = 0
    max_body_bytes: SafeInteger = 0
    header_timeout_s: Seconds = 0.0
    idle_timeout_s: Seconds = 0.0


class DocumentBody(msgspec.Struct, frozen=True):
    """A configuration document.

    ``base_version`` is the version it replaces, 0 if it is the first.
    """

    version: SafeInteger
    services: tuple[ServiceBody, ...]
    virtual_hosts: tuple[HostBody, ...]
    base_version: SafeInteger = 0
    limits: LimitsBody = LimitsBody()


class Document(msgspec.Struct, frozen=True):
    """A decoded document, not yet checked for conflicting routes."""

    version: int
    base_version: int
    canonical: bytes
    services: tuple[ServiceRule, ...]
    routes: tuple[HostRoute, ...]
    callers: CallerLimits

    def configuration(
        self, data_centres: tuple[DataCentreName, ...], measuring: MeasuringBudget
    ) -> Configuration:
        """Return the configuration, with settings that the document doesn't hold."""
        return Configuration(
            measuring=measuring,
            services={service.name: service for service in self.services},
            data_centres={name: DataCentreRule(name) for name in data_centres},
            routes={route.name: route for route in self.routes},
            callers=self.callers,
        )


def decode_document(body: bytes, habits: ReleaseHabits) -> Document:
    """Decode a document; its services get the deployment's release settings.

    Raises
    ------
    ValueError
        The document is malformed or incomplete.
    """
    document = decode_body(body, DocumentBody)
    _check_unused_names(document)
    return Document(
        version=document.version,
        base_version=document.base_version,
        canonical=canonical_json(body),
        services=tuple(_service_rule(service, habits) for service in document.services),
        routes=tuple(
            _host_route(host.host, path)
            for host in document.virtual_hosts
            for path in host.paths
        ),
        callers=_caller_limits(document.limits),
    )


def _check_unused_names(document: DocumentBody) -> None:
    """Refuse an unknown service that a route names beside its weighted ones."""
    names = {service.name for service in document.services}
    for host in document.virtual_hosts:
        for path in host.paths:
            if path.weighted_clusters and path.service and path.service not in names:
                route = host.host + path.path_prefix
                raise ValueError(f"route {route}: service {path.service} is unknown")


def _service_rule(service: ServiceBody, habits: ReleaseHabits) -> ServiceRule:
    return ServiceRule(
        name=ServiceName(service.name),
        deadline_ms=0.0,
        habits=habits,
        health_path=service.health_path,
        connections=service.max_connections,
        cold_ms=service.cold_start_s * MS_PER_S,
        cold_calls_per_s=service.cold_per_s,
    )


def _host_route(host: str, path: PathBody) -> HostRoute:
    host = host.lower()
    return HostRoute(
        name=RouteName(host + path.path_prefix),
        host=host,
        path_prefix=path.path_prefix,
        repeat=REPEAT_RULE_BY_ROUTE_TYPE[path.route_type],
        shares=path.shares(),
        deadline_ms=path.timeout_s * MS_PER_S,
        target_ms=path.target_latency_s * MS_PER_S,
        priority=path.priority,
        attempts=path.max_attempts,
    )


def _caller_limits(limits: LimitsBody) -> CallerLimits:
    """Return the limits; as 0, a negative one stands for none."""
    return CallerLimits(
        head_bytes=max(0, limits.max_header_bytes),
        body_bytes=max(0, limits.max_body_bytes),
        head_timeout_ms=max(0.0, limits.header_timeout_s) * MS_PER_S,
        idle_timeout_ms=max(0.0, limits.idle_timeout_s) * MS_PER_S,
    )
