"""Configuration deltas: they are small, and applying them is exact."""

import msgspec
import pytest
from msgspec.structs import replace

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    MeasuringBudget,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.configuration_delta import (
    ConfigurationDelta,
    apply_delta,
    make_delta,
)

SERVICES = {f"s{n}": ServiceRule(f"s{n}", 1_000.0) for n in range(120)}
DATA_CENTRES = {f"d{n}": DataCentreRule(f"d{n}") for n in range(8)}
RELEASES = tuple(
    ReleaseRule(f"s{n}", "v2", "v1", ReleaseState.RISING, 0.1, 1, 2) for n in range(9)
)
OLD = Configuration(5, SERVICES, DATA_CENTRES, RELEASES, (("s1", "v0"),))
DELTA_LIMIT_BYTES = 1_000

NEW = {
    "service": replace(OLD, services={**SERVICES, "s3": ServiceRule("s3", 9.0)}),
    "new service": replace(OLD, services={**SERVICES, "t": ServiceRule("t", 9.0)}),
    "service gone": replace(
        OLD, services={n: rule for n, rule in SERVICES.items() if n != "s4"}
    ),
    "data centre": replace(
        OLD,
        data_centres={
            **DATA_CENTRES,
            "d1": DataCentreRule("d1", "", DataCentreState.OUT),
        },
    ),
    "release step": replace(
        OLD, releases=(*RELEASES[1:], replace(RELEASES[0], share=0.2))
    ),
    "release gone": replace(OLD, releases=RELEASES[1:]),
    "withdrawn": replace(OLD, withdrawn=()),
    "measuring": replace(OLD, measuring=MeasuringBudget(5.0, 100.0)),
}


@pytest.mark.parametrize("name", NEW)
def test_applied_delta_gives_the_new_configuration(name):
    new = replace(NEW[name], revision=6)
    encoded = msgspec.msgpack.encode(make_delta(OLD, new))
    assert len(encoded) < DELTA_LIMIT_BYTES
    delta = msgspec.msgpack.decode(encoded, type=ConfigurationDelta)
    assert apply_delta(OLD, delta) == new
