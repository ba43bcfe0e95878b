"""Describes answers and configurations in plain sentences."""

from cicadawheel.answers.generator import generate_configuration
from cicadawheel.answers.model import Answers
from cicadawheel.answers.text import number_text, percent_text
from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    MeasuringBudget,
    ReleaseHabits,
    RepeatRule,
    RouteRule,
    ServiceRule,
)


def explain(answers: Answers) -> list[str]:
    """Return a description of the answers, one sentence per line."""
    return explain_configuration(generate_configuration(answers))


def explain_configuration(configuration: Configuration) -> list[str]:
    """Return a description of a configuration, one sentence per line."""
    lines = []
    for data_centre in configuration.data_centres.values():
        lines.append(_explain_data_centre(data_centre))
    for service in configuration.services.values():
        lines += _explain_service(service)
    lines.append(_explain_measuring(configuration.measuring))
    return lines


def _explain_data_centre(rule: DataCentreRule) -> str:
    distances = [
        f"{name} {number_text(ms)} ms" for name, ms in rule.distance_ms.items()
    ]
    away = ", ".join(distances) or "no other data centre"
    return f"data centre {rule.name}: region {rule.region}; one way to {away}"


def _explain_service(rule: ServiceRule) -> list[str]:
    deadline = number_text(rule.deadline_ms)
    retries = percent_text(rule.retry_share)
    title = (
        f"service {rule.name}: deadline {deadline} ms; "
        f"retries at most {retries} of successes; {_explain_hedging(rule)}"
    )
    routes = [f"  {_explain_route(route)}" for route in rule.routes]
    return [title, *routes, f"  {_explain_habits(rule.habits)}"]


def _explain_hedging(rule: ServiceRule) -> str:
    if not rule.hedge_after_quantile:
        return "no hedging"
    return f"hedging after quantile {number_text(rule.hedge_after_quantile)} of latency"


def _explain_habits(habits: ReleaseHabits) -> str:
    stage = number_text(habits.stage_min_ms)
    failures = percent_text(habits.failure_ratio_limit)
    slowdown = number_text(habits.slowdown_limit)
    return (
        f"new version: at most {percent_text(habits.proof_share_limit)} of calls "
        f"until proven, stages of at least {stage} ms, taken back above "
        f"{failures} more failures or {slowdown} times the latency"
    )


def _explain_route(rule: RouteRule) -> str:
    text = f"route {rule.name}: {_explain_match(rule)}: "
    if rule.repeat is RepeatRule.NEVER:
        text += "runs at most once, needs an Idempotency-Key"
    else:
        text += "may be sent more than once"
    return f"{text}; deadline {number_text(rule.deadline_ms)} ms"


def _explain_match(rule: RouteRule) -> str:
    if not rule.path_prefix:
        return "any other request" if rule.method == "*" else f"any other {rule.method}"
    method = "any method" if rule.method == "*" else rule.method
    return f"{method} {rule.path_prefix}..."


def _explain_measuring(budget: MeasuringBudget) -> str:
    probes = number_text(budget.probes_per_s)
    size = number_text(budget.bytes_per_s)
    return (
        f"measuring: each node spends at most {probes} probes and {size} bytes a second"
    )
