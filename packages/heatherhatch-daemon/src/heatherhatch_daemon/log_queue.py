"""Log queue, so that logging never blocks on standard output."""

import time
from collections import deque

import gevent
import msgspec
from gevent.os import make_nonblocking, nb_write

from .events import LOG, Event
from .metrics import METER, Metric

MAX_QUEUED_LINES = 2_000  # about 0.5 MB; further lines are counted and dropped
ROUTINE_LINES_PER_S = 150  # role changes, refusals and other events have no rate limit
ROUTINE_EVENTS = frozenset({Event.DECIDED, Event.JOB_ACCEPTED})
WRITE_BLOCK_BYTES = 32_768  # lines are joined up to about this size for one write
STDOUT_DESCRIPTOR = 1


class LogQueue:
    """A bounded queue of log lines and the greenlet that writes them.

    Args:
        node: Name of the node, which is part of each line.
        descriptor: File descriptor to write to.

    Attributes:
        dropped: Number of lines dropped since the last report of them.
        second: Second in which the last event came, seconds since the epoch.
        routine_events: Number of routine events in that second.
    """

    def __init__(self, node: str, descriptor: int = STDOUT_DESCRIPTOR):
        self.node = node
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.second = 0
        self.routine_events = 0
        self.greenlet: gevent.Greenlet | None = None
        self.encoder = msgspec.json.Encoder(enc_hook=str)

    def install(self) -> None:
        """Receive all events of the process from now on and start the writer."""
        make_nonblocking(self.descriptor)
        LOG.sink = self.put
        self.greenlet = gevent.spawn(self._run)

    def put(self, event: Event, details: dict) -> None:
        """Queue one event, or count it as dropped above the limits."""
        second = int(time.time())
        if second != self.second:
            self._start_second(second)
        if event in ROUTINE_EVENTS:
            self.routine_events += 1
            if self.routine_events > ROUTINE_LINES_PER_S:
                self.dropped += 1
                return
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._append(event, details)

    def flush(self) -> None:
        """Write the queued lines at the end of the process, for up to 0.5 s."""
        if self.greenlet is not None:
            self.greenlet.kill()
        with gevent.Timeout(0.5, False):
            self._write_all()

    def _start_second(self, second: int) -> None:
        self.second = second
        self.routine_events = 0
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            METER.sink.count(Metric.LINES_DROPPED, dropped)
            self._append(Event.LINES_DROPPED, {"lines": dropped})

    def _append(self, event: Event, details: dict) -> None:
        line = {
            "time": round(time.time(), 3),
            "node": self.node,
            "event": event.value.number,
            "name": event.name.lower(),
            **details,
        }
        self.lines.append(self.encoder.encode(line) + b"\n")

    def _run(self) -> None:
        while True:
            self._write_all()
            gevent.sleep(0.05)

    def _write_all(self) -> None:
        while self.lines:
            block = bytearray()
            while self.lines and len(block) < WRITE_BLOCK_BYTES:
                block += self.lines.popleft()
            view = memoryview(block)
            while view:
                view = view[nb_write(self.descriptor, view) :]
