"""Prometheus metrics of a node."""

from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cicadawheel.entry.locality import FlowReport
from cicadawheel.ids import ServiceName
from cicadawheel.timer import MS_PER_S

LATENCY_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5, 30)
TOLD_RETURN_BUCKETS_S = (0.1, 0.2, 0.4, 0.8, 1.6)


class NodeMetrics:
    """Metrics of one node, in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "cicadawheel_calls",
            "Calls that ended, by service and how.",
            ["service", "end"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "cicadawheel_refusals",
            "Attempts that a gate refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "cicadawheel_call_seconds",
            "Time from an attempt's beginning to its answer's head.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.requests_ahead = Counter(
            "cicadawheel_requests_ahead",
            "Requests read before earlier ones on their connection were answered.",
            registry=self.registry,
        )
        self.revision = Gauge(
            "cicadawheel_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        self.probes = Counter(
            "cicadawheel_probes",
            "Probes of other nodes' load.",
            registry=self.registry,
        )
        self.probe_bytes = Counter(
            "cicadawheel_probe_bytes",
            "Bytes of the probes and their answers, at most.",
            registry=self.registry,
        )
        self.hedges = Counter(
            "cicadawheel_hedges",
            "Second attempts beside a slow first one.",
            ["service"],
            registry=self.registry,
        )
        self.repeats = Counter(
            "cicadawheel_repeats",
            "Repeats at this gate, by service, cause and outcome.",
            ["service", "cause", "outcome"],
            registry=self.registry,
        )
        self.entry_refusals = Counter(
            "cicadawheel_entry_refusals",
            "Calls refused at the entry, as there was no room.",
            ["service", "reason"],
            registry=self.registry,
        )
        self.told_return_seconds = Histogram(
            "cicadawheel_told_return_seconds",
            "Retry-After times told to callers that were refused for the load.",
            ["service"],
            buckets=TOLD_RETURN_BUCKETS_S,
            registry=self.registry,
        )
        self.repeats_by_need = Counter(
            "cicadawheel_repeats_by_need",
            "Repeats at this gate, by service, who needs them and outcome.",
            ["service", "need", "outcome"],
            registry=self.registry,
        )
        self.gate_refusals = Counter(
            "cicadawheel_gate_refusals",
            "Requests that this gate refused, by kind and reason.",
            ["kind", "reason"],
            registry=self.registry,
        )
        self.nested_calls = Counter(
            "cicadawheel_nested_calls",
            "Calls that the upstream of this node made while it ran a request.",
            ["service"],
            registry=self.registry,
        )
        self.nested_spent_seconds = Counter(
            "cicadawheel_nested_spent_seconds",
            "Work done for the outer requests at the time of these calls.",
            ["service"],
            registry=self.registry,
        )
        self.gate_limit = Gauge(
            "cicadawheel_gate_limit",
            "Requests that the gate lets its upstream have now.",
            registry=self.registry,
        )
        self.gate_in_flight = Gauge(
            "cicadawheel_gate_in_flight",
            "Requests that the upstream has.",
            registry=self.registry,
        )
        self.gate_queued = Gauge(
            "cicadawheel_gate_queued",
            "Requests that wait for a slot.",
            registry=self.registry,
        )
        self.away_share = Gauge(
            "cicadawheel_away_share",
            "Share of recent calls sent to another data centre, by service and rank.",
            ["service", "priority"],
            registry=self.registry,
        )
        self.link_use = Gauge(
            "cicadawheel_link_use",
            "Fraction of the VM's link in use, 0 if its rate is unknown.",
            registry=self.registry,
        )
        self._calls: dict[tuple[ServiceName, Enum], Counter] = {}
        self._latencies: dict[ServiceName, Histogram] = {}

    def count_call(self, service: ServiceName, end: Enum) -> None:
        """Count a finished call."""
        counter = self._calls.get((service, end))
        if counter is None:
            counter = self.calls.labels(service, end.value)
            self._calls[(service, end)] = counter
        counter.inc()

    def observe_latency(self, service: ServiceName, latency_ms: float) -> None:
        """Record the time from the start of an attempt to the head of its answer."""
        histogram = self._latencies.get(service)
        if histogram is None:
            histogram = self._latencies[service] = self.call_seconds.labels(service)
        histogram.observe(latency_ms / MS_PER_S)

    def count_refusal(self, reason: Enum) -> None:
        """Count an attempt refused by a gate."""
        self.refusals.labels(reason.value).inc()

    def count_entry_refusal(self, service: ServiceName, reason: Enum) -> None:
        """Count a call that was refused before it was sent to a gate."""
        self.entry_refusals.labels(service, reason.value).inc()

    def observe_told_return(self, service: ServiceName, delay_ms: float) -> None:
        """Record the time after which a refused caller was told to come back."""
        self.told_return_seconds.labels(service).observe(delay_ms / MS_PER_S)

    def count_repeat(self, service: ServiceName, cause: Enum, outcome: str) -> None:
        """Count a repeat that this gate sent on or refused."""
        self.repeats.labels(service, cause.value, outcome).inc()

    def count_repeat_need(self, service: ServiceName, need: Enum, outcome: str) -> None:
        """Count a repeat by who needs it."""
        self.repeats_by_need.labels(service, need.value, outcome).inc()

    def count_gate_refusal(self, kind: str, reason: Enum) -> None:
        """Count a request that this gate refused."""
        self.gate_refusals.labels(kind, reason.value).inc()

    def count_nested(self, service: ServiceName, spent_ms: float) -> None:
        """Count a nested call and the work behind it."""
        self.nested_calls.labels(service).inc()
        self.nested_spent_seconds.labels(service).inc(spent_ms / MS_PER_S)

    def count_probe(self, size_bytes: float) -> None:
        """Count a probe and the bytes that it used."""
        self.probes.inc()
        self.probe_bytes.inc(size_bytes)

    def set_flow_gauges(self, flows: list[FlowReport], link_use: float) -> None:
        """Set the gauges of what leaves the data centre and of the link."""
        for flow in flows:
            self.away_share.labels(flow.service, flow.priority).set(flow.share)
        self.link_use.set(link_use)

    def set_gate_gauges(self, limit: int, in_flight: int, queued: int) -> None:
        """Set the gauges of the gate."""
        self.gate_limit.set(limit)
        self.gate_in_flight.set(in_flight)
        self.gate_queued.set(queued)
