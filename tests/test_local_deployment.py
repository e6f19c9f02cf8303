"""Ports of local deployments."""

from oriolejunction import local_deployment


def test_free_ports_are_not_given_to_outgoing_connections():
    """Fault: one was taken before its listener was bound."""
    ports = local_deployment.free_ports(300)
    assert len(set(ports)) == 300
    assert max(ports) < 32_768
