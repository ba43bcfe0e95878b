"""Tests of node leases."""

import pytest
from state_driver import make_member

from cicadawheel.control.lease import MissingReason, RenewalState, make_lease_table

LEASE_MS = 3_000.0


@pytest.fixture
def table():
    """Return a table with two members, whose leases start at time 0."""
    table = make_lease_table(LEASE_MS)
    table.reset([make_member("n1", epoch=5), make_member("n2", epoch=6)], 0.0)
    return table


def test_new_leader_grants_every_member_a_full_lease(table):
    assert table.expired(LEASE_MS - 1) == ()
    assert table.expired(LEASE_MS) == (("n1", 5), ("n2", 6))


def test_renewal_extends_a_lease_and_an_old_epoch_is_fenced(table):
    assert table.renew("n1", 5, 9, 2_000.0) is RenewalState.RENEWED
    assert table.renew("n2", 4, 9, 2_000.0) is RenewalState.FENCED
    assert table.renew("n3", 1, 9, 2_000.0) is RenewalState.FENCED
    assert table.expired(LEASE_MS) == (("n2", 6),)


def test_late_renewal_extends_a_lease_that_was_not_yet_removed(table):
    table.renew("n1", 5, 9, LEASE_MS + 500)
    assert table.expired(LEASE_MS + 600) == (("n2", 6),)


def test_registration_under_a_new_epoch_starts_a_new_lease(table):
    table.renew("n1", 5, 9, 100.0)
    table.sync([make_member("n1", epoch=8)], 2_000.0)
    assert table.renew("n1", 5, 9, 2_100.0) is RenewalState.FENCED
    assert table.expired(4_999.0) == ()
    assert table.expired(5_000.0) == (("n1", 8),)


def test_missing_nodes_are_returned_with_their_reason(table):
    table.sync(
        [make_member(f"n{n}", epoch=epoch) for n, epoch in ((1, 5), (2, 6), (3, 7))],
        0.0,
    )
    table.renew("n1", 5, 10, 1_900.0)
    table.renew("n2", 6, 9, 100.0)
    missing = table.missing_nodes(10, 2_000.0)
    assert [
        (missing_node.node, missing_node.reason, missing_node.in_force)
        for missing_node in missing
    ] == [
        ("n2", MissingReason.SILENT, 9),
        ("n3", MissingReason.NOT_HEARD, 0),
    ]
    assert missing[0].silent_ms == 1_900.0
    table.renew("n2", 6, 9, 2_000.0)
    assert table.missing_nodes(10, 2_000.0)[0].reason is MissingReason.BEHIND


def test_revision_in_force_never_decreases(table):
    table.renew("n1", 5, 10, 100.0)
    table.renew("n1", 5, 9, 200.0)
    table.renew("n2", 6, 10, 200.0)
    assert table.missing_nodes(10, 200.0) == ()
