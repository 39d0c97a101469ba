import itertools
import subprocess
import sys
from pathlib import Path

from dogwoodhook.testing import fleet
from dogwoodhook.testing.fleet import free_port

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_distinct_and_not_those_of_outgoing_connections():
    first_ephemeral_port = int(EPHEMERAL_PORTS.read_text().split()[0])
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_ephemeral_port


def test_a_port_just_given_to_another_process_is_not_free(monkeypatch):
    program = (
        "from dogwoodhook.testing.fleet import free_port;"
        "print(free_port(), flush=True); input()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        port = int(other.stdout.readline())
        ports = itertools.chain([port], fleet._SINGLE_PORTS)
        monkeypatch.setattr(fleet, "_SINGLE_PORTS", ports)
        assert free_port() != port
        other.communicate("")
