"""Generates a configuration from answers."""

from cicadawheel.answers.model import (
    DEFAULT_ROUTE_PREFIX,
    Answers,
    DataCentreAnswers,
    ReleaseAnswers,
    RouteAnswers,
    ServiceAnswers,
)
from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    MeasuringBudget,
    ReleaseHabits,
    RepeatRule,
    RouteRule,
    Routing,
    ServiceRule,
)
from cicadawheel.ids import DataCentreName

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
ANY_METHOD = "*"
ANY_PATH = ""


def generate_configuration(answers: Answers) -> Configuration:
    """Return the configuration that the answers describe, at revision 0.

    Answers don't contain the states of data centres, the releases and the current
    versions: control keeps them when the configuration is applied.
    """
    habits = {item.service: item for item in answers.release_habits}
    services = {}
    for service in answers.services:
        routes = [route for route in answers.routes if route.service == service.name]
        services[service.name] = _service_rule(
            service, routes, habits.get(service.name)
        )
    return Configuration(
        services=services,
        data_centres={
            item.name: _data_centre_rule(item, answers) for item in answers.data_centres
        },
        measuring=MeasuringBudget(
            probes_per_s=answers.measuring.probes_per_s,
            bytes_per_s=answers.measuring.bytes_per_s,
        ),
        routing=Routing.BY_SERVICE,
    )


def _service_rule(
    service: ServiceAnswers,
    routes: list[RouteAnswers],
    habits: ReleaseAnswers | None,
) -> ServiceRule:
    configured = [
        _route_rule(route, service) for route in sorted(routes, key=_precedence)
    ]
    return ServiceRule(
        name=service.name,
        deadline_ms=service.deadline_ms,
        routes=(*configured, *_default_routes(service)),
        retry_share=service.retry_share,
        hedge_after_quantile=service.hedge_after_quantile,
        habits=_release_habits(habits),
    )


def _precedence(route: RouteAnswers) -> tuple[int, bool]:
    """Return a sort key: longer prefixes first, then a given method before any."""
    return (-len(route.path_prefix), route.method == ANY_METHOD)


def _route_rule(route: RouteAnswers, service: ServiceAnswers) -> RouteRule:
    deadline_ms = route.deadline_ms
    return RouteRule(
        name=route.name,
        method=route.method,
        path_prefix=route.path_prefix,
        repeat=route.repeat,
        deadline_ms=service.deadline_ms if deadline_ms is None else deadline_ms,
    )


def _default_routes(service: ServiceAnswers) -> list[RouteRule]:
    """Return the routes of requests that match no configured route."""
    rules = [
        RouteRule(
            name=DEFAULT_ROUTE_PREFIX + method.lower(),
            method=method,
            path_prefix=ANY_PATH,
            repeat=RepeatRule.REPEATABLE,
            deadline_ms=service.deadline_ms,
        )
        for method in SAFE_METHODS
    ]
    fallback = RouteRule(
        name=DEFAULT_ROUTE_PREFIX + "other",
        method=ANY_METHOD,
        path_prefix=ANY_PATH,
        repeat=RepeatRule.NEVER,
        deadline_ms=service.deadline_ms,
    )
    return [*rules, fallback]


def _release_habits(habits: ReleaseAnswers | None) -> ReleaseHabits:
    if habits is None:
        return ReleaseHabits()
    return ReleaseHabits(
        proof_share_limit=habits.proof_share_limit,
        stage_min_ms=habits.stage_min_ms,
        failure_ratio_limit=habits.failure_ratio_limit,
        slowdown_limit=habits.slowdown_limit,
    )


def _data_centre_rule(
    data_centre: DataCentreAnswers, answers: Answers
) -> DataCentreRule:
    distance_ms: dict[DataCentreName, float] = dict(data_centre.distance_ms)
    for other in answers.data_centres:
        if data_centre.name in other.distance_ms:
            distance_ms[other.name] = other.distance_ms[data_centre.name]
    return DataCentreRule(
        name=data_centre.name,
        region=data_centre.region,
        distance_ms=dict(sorted(distance_ms.items())),
    )
