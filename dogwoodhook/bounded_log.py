"""A log handler that never blocks the daemon and limits the volume of its log.

A thread writes the lines. Lines beyond ``MAX_LINES_PER_S`` are dropped (a token
bucket), and so are lines that find the queue full because the output is not read. The
next line that is written says how many were dropped. Part of the tokens is reserved
for warnings and errors, so that many lines of lower levels do not displace them.
"""

import queue
import signal
import threading
import time
from typing import TextIO

import logbook

MAX_LINES_PER_S = 400.0
"""Long-term rate of lines; a daemon at its usual load writes ten a second."""

MAX_QUEUED_LINES = 4000
"""Lines that may wait to be written; about 1 MB."""

MAX_BATCH_LINES = 100
"""Most lines written to the stream at once."""

CLOSE_TIMEOUT_S = 1.0
"""Time limit for writing the last lines when the handler is closed."""

WARNING_SHARE = 0.25
"""Share of the tokens that is reserved for warnings and errors."""


class BoundedHandler(logbook.Handler):
    """Writes records to a stream from a thread of its own.

    ``dropped`` counts the lines dropped so far.
    """

    def __init__(self, stream: TextIO, *, level: str, format_string: str) -> None:
        super().__init__(level=level)  # type: ignore[no-untyped-call]
        self.formatter = logbook.StringFormatter(format_string)
        self.dropped = 0
        self._unreported = 0
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._tokens = MAX_LINES_PER_S
        self._refilled_s = time.monotonic()
        self._writer = threading.Thread(target=self._write, daemon=True)
        self._writer.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line, or count it as dropped."""
        reserve = 0.0 if record.level >= logbook.WARNING else WARNING_SHARE
        if not self._take_token(reserve * MAX_LINES_PER_S):
            self._count_dropped()
            return
        line = self.format(record)  # type: ignore[no-untyped-call]
        if self._unreported:
            line += f" dropped_lines={self._unreported}"
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._count_dropped()
            return
        self._unreported = 0

    def close(self, *, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write the queued lines within ``timeout_s``, and end the thread."""
        ends_s = time.monotonic() + timeout_s
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._writer.join(timeout=max(0.0, ends_s - time.monotonic()))

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _take_token(self, reserve: float) -> bool:
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_LINES_PER_S, refilled)
        self._refilled_s = now_s
        if self._tokens - 1 < reserve:
            return False
        self._tokens -= 1
        return True

    def _write(self) -> None:
        # Only the main thread handles signals; it blocks them when it ends.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            lines = [self._lines.get()]
            while not self._lines.empty() and len(lines) < MAX_BATCH_LINES:
                lines.append(self._lines.get_nowait())
            written = [line for line in lines if line is not None]
            if written:
                self._stream.write("\n".join(written) + "\n")
                self._stream.flush()
            if len(written) < len(lines):
                return
