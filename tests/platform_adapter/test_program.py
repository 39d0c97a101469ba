"""The daemon's program: invalid settings, and signals at any time."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter.test_settings_file import SETTINGS_TEXT


def start_daemon(tmp_path, text, *, stdout=subprocess.PIPE):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "dogwoodhook.platform"],
        env={**os.environ, "DOGWOODHOOK_SETTINGS": str(path)},
        stdout=stdout,
        stderr=subprocess.PIPE,
        text=True,
    )


def with_local_addresses(text):
    """Return a settings file with addresses of this machine.

    The metrics port is fixed, so test runs at the same time need different addresses.
    """
    host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 200}.1"
    text = text.replace("10.1.0.15", host).replace("10.200.1.7", "127.0.0.1")
    for port in ("8641", "8640", "7620", "8642"):
        text = text.replace(port, str(free_port()))
    return text


def test_bad_settings_end_the_program_with_every_finding(tmp_path):
    process = start_daemon(
        tmp_path, SETTINGS_TEXT.replace("zone=kigali-1\n", "").replace("6s", "six")
    )
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert "zone is missing" in errors
    assert "bounds.grace" in errors


def handles_sighup(process):
    """Return whether the process ignores or handles SIGHUP, which shows its start."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    mask = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(mask & 1 << (signal.SIGHUP - 1))


@pytest.mark.parametrize("delay_s", [0.0, 2.5])
def test_sighup_does_not_end_a_daemon_but_sigterm_does(tmp_path, delay_s):
    process = start_daemon(tmp_path, with_local_addresses(SETTINGS_TEXT))
    while not handles_sighup(process):
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


def test_a_stopped_daemon_ends_only_after_the_teardown_of_the_interpreter():
    code = """
import atexit
from dogwoodhook.platform import __main__, program
atexit.register(print, "torn down", flush=True)
program.run = lambda: print("stopped", flush=True)
__main__.main()
"""
    finished = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert (finished.returncode, finished.stdout) == (0, "stopped\n"), finished.stderr


def evaluate_after_start(expression):
    """Return the value of an expression after the daemon's program has started."""
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
    assert (
        evaluate_after_start("ssl.create_default_context().cert_store_stats()['x509']")
        == "0"
    )


def test_garbage_collection_after_a_start_leaves_out_the_modules():
    assert evaluate_after_start(
        "gc.isenabled() and gc.get_freeze_count() > len(sys.modules)"
    ) == ("True")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_further_signals_do_not_interrupt_a_stop(tmp_path, number):
    process = start_daemon(
        tmp_path,
        with_local_addresses(SETTINGS_TEXT).replace(
            "bounds.grace=6s", "bounds.grace=1s"
        ),
    )
    while not handles_sighup(process):
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


def open_full_pipe():
    """Return the read end and the write end of a full pipe."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, b"x")
    except BlockingIOError:
        os.set_blocking(write_end, True)
    return read_end, write_end


def test_a_daemon_whose_output_is_not_read_ends_within_its_grace_period(tmp_path):
    read_end, write_end = open_full_pipe()
    text = with_local_addresses(SETTINGS_TEXT).replace(
        "bounds.grace=6s", "bounds.grace=3400ms"
    )
    process = start_daemon(tmp_path, text, stdout=write_end)
    while not handles_sighup(process):
        assert process.poll() is None
        time.sleep(0.001)
    time.sleep(2.5)
    process.send_signal(signal.SIGTERM)
    sigterm_s = time.monotonic()
    process.communicate(timeout=30)
    duration_s = time.monotonic() - sigterm_s
    os.close(read_end)
    os.close(write_end)
    assert process.returncode == 0
    assert duration_s <= 3.4
