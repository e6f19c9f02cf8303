"""Lease renewals give each instance the peer addresses of the others."""

from oriolejunction.controllers import lease_table
from oriolejunction import messages


def _request(instance, **fields):
    return messages.RenewRequest(
        instance=instance,
        zone="fukuoka",
        incarnation="1",
        applied=0,
        peer_address=f"127.0.0.1:{instance}",
        **fields,
    )


async def test_each_instance_knows_all_others(deployment):
    for instance in deployment.instances:
        while len(instance.blackboard.instance_by_id.read()) < 3:
            await instance.clock.sleep_ms(20)
        known = instance.blackboard.instance_by_id.read()
        assert {name: peer.peer_address for name, peer in known.items()} == {
            other.settings.instance_id: other.settings.peer_listen
            for other in deployment.instances
        }


def test_peers_are_recomputed_only_after_a_change():
    table = lease_table.new_table(0, 0)
    lease_table.renew(table, _request("1"), 0)
    first = lease_table.live_peers(table, 1)
    lease_table.renew(table, _request("1"), 2)
    assert lease_table.live_peers(table, 3) is first
    lease_table.renew(table, _request("1", leaving=True), 4)
    assert lease_table.live_peers(table, 5).instances[0].leaving


def test_peer_with_expired_lease_is_not_listed():
    table = lease_table.new_table(0, 0)
    lease_table.renew(table, _request("1"), 0)
    lease_table.renew(table, _request("2"), 1_000)
    assert len(lease_table.live_peers(table, 1_000).instances) == 2
    end_ms = lease_table.LEASE_MS + lease_table.CLOCK_RATE_MARGIN_MS
    remaining = lease_table.live_peers(table, end_ms).instances
    assert [peer.instance for peer in remaining] == ["2"]


def test_new_leader_lists_no_peers_while_earlier_leases_may_run():
    table = lease_table.new_table(0, 7)
    lease_table.renew(table, _request("1"), 0)
    end_ms = lease_table.LEASE_MS + lease_table.CLOCK_RATE_MARGIN_MS
    assert lease_table.live_peers(table, end_ms - 1) is None
    lease_table.renew(table, _request("1"), end_ms - 1)
    assert len(lease_table.live_peers(table, end_ms).instances) == 1
