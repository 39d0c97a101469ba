from pathlib import Path

from dogwoodhook.testing.fleet import free_port

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_distinct_and_not_those_of_outgoing_connections():
    first_ephemeral_port = int(EPHEMERAL_PORTS.read_text().split()[0])
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_ephemeral_port
