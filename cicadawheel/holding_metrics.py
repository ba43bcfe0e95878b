"""Metrics of the account of held bytes."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from cicadawheel.holdings import Holdings


class HoldingCollector:
    """Reads the account when the metrics are requested.

    Parameters
    ----------
    account : Holdings
        The account of the process.
    """

    def __init__(self, account: Holdings):
        self._account = account

    def collect(self) -> Iterator[Metric]:
        """Yield the current values."""
        held = GaugeMetricFamily(
            "cicadawheel_held_bytes",
            "Bytes held for clients, by what holds them.",
            labels=["kind"],
        )
        for kind, size_bytes in self._account.bytes_by_kind().items():
            held.add_metric([kind.value], size_bytes)
        yield held
        limit = GaugeMetricFamily(
            "cicadawheel_held_limit_bytes", "Most bytes that are held for clients."
        )
        limit.add_metric([], self._account.settings.held_bytes)
        yield limit
        ended = CounterMetricFamily(
            "cicadawheel_clients_ended",
            "Clients that were ended, by the limit that they met.",
            labels=["reason"],
        )
        for reason, count in self._account.ended.items():
            ended.add_metric([reason.value], count)
        yield ended


def register_holdings(registry: CollectorRegistry, account: Holdings) -> None:
    """Add the account's metrics to those of a process."""
    registry.register(HoldingCollector(account))
