"""The daemon's program: bad settings, and signals at any moment."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter.test_settings_file import TEXT


def start(tmp_path, text, *, stdout=subprocess.PIPE):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "dogwoodhook.platform"],
        env={**os.environ, "DOGWOODHOOK_SETTINGS": str(path)},
        stdout=stdout,
        stderr=subprocess.PIPE,
        text=True,
    )


def local(text):
    """Put addresses of this machine into a settings file.

    The metrics' port is fixed, so test runs at the same time need other addresses.
    """
    own = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 200}.1"
    text = text.replace("10.1.0.15", own).replace("10.200.1.7", "127.0.0.1")
    for port in ("8641", "8640", "7620", "8642"):
        text = text.replace(port, str(free_port()))
    return text


def test_bad_settings_end_the_program_with_every_finding(tmp_path):
    process = start(tmp_path, TEXT.replace("zone=kigali-1\n", "").replace("6s", "six"))
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert "zone is missing" in errors
    assert "bounds.grace" in errors


def survives_sighup(process):
    """Tell whether the process ignores or handles SIGHUP: the program has begun."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    mask = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(mask & 1 << (signal.SIGHUP - 1))


@pytest.mark.parametrize("delay_s", [0.0, 2.5])
def test_sighup_ends_no_daemon_and_sigterm_does(tmp_path, delay_s):
    process = start(tmp_path, local(TEXT))
    while not survives_sighup(process):
        assert process.poll() is None
        time.sleep(0.001)
    time.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    time.sleep(3.0)
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    output, errors = process.communicate(timeout=30)
    assert process.returncode == 0, errors
    assert "daemon-stopped" in output


def loaded(expression):
    """Evaluate an expression in a process that has loaded the daemon's program."""
    code = f"""
import gc, ssl, sys
from dogwoodhook.platform.__main__ import main
try:
    main()
except SystemExit:
    print({expression})
"""
    environment = dict(os.environ)
    for name in ("DOGWOODHOOK_SETTINGS", "SSL_CERT_FILE", "SSL_CERT_DIR"):
        environment.pop(name, None)
    finished = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True
    )
    assert not finished.returncode, finished.stderr
    return finished.stdout.strip()


def test_a_start_parses_no_certificates():
    assert loaded("ssl.create_default_context().cert_store_stats()['x509']") == "0"


def test_garbage_is_collected_after_a_start_but_not_among_the_modules():
    assert loaded("gc.isenabled() and gc.get_freeze_count() > len(sys.modules)") == (
        "True"
    )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_until_a_daemon_is_gone_do_not_end_it_otherwise(tmp_path, number):
    process = start(tmp_path, local(TEXT).replace("bounds.grace=6s", "bounds.grace=1s"))
    while not survives_sighup(process):
        assert process.poll() is None
        time.sleep(0.001)
    time.sleep(2.5)
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(number)
        time.sleep(0.001)
    output, errors = process.communicate(timeout=30)
    assert process.returncode == 0, errors
    assert "daemon-stopped" in output


def full_pipe():
    """Return the ends of a pipe that nobody reads, and that holds no more."""
    unread, full = os.pipe()
    os.set_blocking(full, False)
    try:
        while True:
            os.write(full, b"x")
    except BlockingIOError:
        os.set_blocking(full, True)
    return unread, full


def test_a_daemon_whose_output_is_not_read_ends_within_its_grace_period(tmp_path):
    unread, full = full_pipe()
    text = local(TEXT).replace("bounds.grace=6s", "bounds.grace=3400ms")
    process = start(tmp_path, text, stdout=full)
    while not survives_sighup(process):
        assert process.poll() is None
        time.sleep(0.001)
    time.sleep(2.5)
    process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    process.communicate(timeout=30)
    ended_s = time.monotonic() - stopped_s
    os.close(unread)
    os.close(full)
    assert process.returncode == 0
    assert ended_s <= 3.4
