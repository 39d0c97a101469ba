"""The log handler that drops lines instead of blocking the daemon."""

import io
import threading

import logbook

from dogwoodhook.bounded_log import (
    MAX_BATCH_LINES,
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    WARNING_SHARE,
    BoundedHandler,
)

FORMAT = "{record.level_name} {record.message}"


class StuckStream(io.StringIO):
    """A stream whose writes block until it is released, for 5 s at most."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(5)
        return super().write(text)


def log_lines(stream, count, *, level=logbook.INFO):
    handler = BoundedHandler(stream, level="INFO", format_string=FORMAT)
    logger = logbook.Logger("test")
    with handler:
        for number in range(count):
            logger.log(level, "line {}", number)
        dropped = handler.dropped
        logger.warning("last")
    if isinstance(stream, StuckStream):
        stream.released.set()
    handler.close()
    return stream.getvalue().splitlines(), dropped


def test_lines_are_written_in_order():
    lines, dropped = log_lines(io.StringIO(), 3)
    assert lines == ["INFO line 0", "INFO line 1", "INFO line 2", "WARNING last"]
    assert dropped == 0


def test_lines_over_the_rate_are_dropped_and_counted_but_warnings_are_kept():
    lines, dropped = log_lines(io.StringIO(), 5000)
    allowed = MAX_LINES_PER_S * (1 - WARNING_SHARE)
    assert len(lines) - 1 >= allowed - 1
    assert dropped == 5000 - (len(lines) - 1)
    assert lines[-1].startswith("WARNING last")
    reported = [int(line.split("dropped_lines=")[1]) for line in lines if "=" in line]
    assert sum(reported) == dropped


def test_a_blocked_stream_does_not_block_the_logger(monkeypatch):
    monkeypatch.setattr("dogwoodhook.bounded_log.MAX_LINES_PER_S", 1e9)
    lines, dropped = log_lines(StuckStream(), 2 * MAX_QUEUED_LINES)
    assert dropped > 0
    assert len(lines) <= MAX_QUEUED_LINES + MAX_BATCH_LINES
