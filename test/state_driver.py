"""Shared fixtures that apply commands to a replicated state."""

import pytest

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    Member,
    ServiceRule,
)
from cicadawheel.control.command import ApplyConfiguration, RegisterMember
from cicadawheel.control.state import make_control_state

WINDOW_MS = 1_000_000


class Driver:
    """Applies commands to a state at increasing log indexes."""

    def __init__(self):
        self.state = make_control_state(WINDOW_MS)
        self.index = 0
        self.now_ms = 1_000

    def apply(self, kind, **fields):
        self.index += 1
        return self.state.apply(self.index, kind(now_ms=self.now_ms, **fields))

    def operate(self, kind, operation, expected=None, **fields):
        if expected is None:
            expected = self.state.configuration.revision
        return self.apply(
            kind, operation=operation, expected_revision=expected, **fields
        )

    def register(self, node, **fields):
        return self.apply(RegisterMember, member=make_member(node, **fields))

    def restart(self):
        """Replace the state with one restored from its snapshot."""
        data = self.state.begin_snapshot().data()
        self.state = make_control_state(WINDOW_MS)
        self.state.restore(data)
        assert self.state.begin_snapshot().data() == data


def make_member(node, **fields):
    values = {
        "node": node,
        "upstream": f"u-{node}",
        "service": "booking",
        "version": "v1",
        "data_centre": "east",
        "host": "127.0.0.1",
        "port": 9_000 + sum(map(ord, node)),
        "slots": 10,
        "connections": 200,
    }
    return Member(**{**values, **fields})


def make_rules():
    return Configuration(
        services={"booking": ServiceRule(name="booking", deadline_ms=1_000.0)},
        data_centres={name: DataCentreRule(name=name) for name in ("east", "west")},
    )


@pytest.fixture
def driver():
    driver = Driver()
    driver.operate(ApplyConfiguration, "op-0", configuration=make_rules())
    driver.register("n1")
    driver.register("n2", data_centre="west")
    return driver
