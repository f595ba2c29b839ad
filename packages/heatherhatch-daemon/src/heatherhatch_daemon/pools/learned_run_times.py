"""Keeps the learned run times of a pool in the store."""

from collections.abc import Callable

import gevent

from heatherhatch_core.codec import encode_json
from heatherhatch_core.coordination.run_times import RunTimes, decode_record
from heatherhatch_core.exceptions import HeatherhatchError, StoreError

from ..events import Event, log
from ..metrics import METER, Metric
from ..transport.store import Expect, PolledStore, Put, Transaction
from .clock import now_s
from .keys import learned_key
from .supervision import spawn_supervised

WRITE_INTERVAL_S = 5.0  # at most this many seconds of learning are lost with a holder
CHECK_PERIOD_S = 1.0  # pause between two checks whether a write is due


class LearnedRunTimes:
    """Reads the run times of earlier holders and writes those of this one.

    The record has statistics only, so neither a failed read nor a failed write keeps
    the pool from working. Nothing is written before the record was read, so that a
    failed read does not discard what earlier holders have learned.

    Args:
        store: The platform's store.
        pool: Name of the pool.
        run_times: Run times of the pool's scheduler.
        claim: Returns the condition that this node holds the claim.
        may_write: Returns whether this node may still hold the claim.
    """

    def __init__(
        self,
        store: PolledStore,
        pool: str,
        run_times: RunTimes,
        claim: Callable[[], Expect],
        may_write: Callable[[], bool],
    ):
        self.store = store
        self.pool = pool
        self.run_times = run_times
        self.claim = claim
        self.may_write = may_write
        self.loaded = False
        self.written_s = float("-inf")
        self.written_changes = 0
        self.writer: gevent.Greenlet | None = None

    def load(self) -> None:
        """Read the record, unless it was read before."""
        if self.loaded:
            return
        key = learned_key(self.pool)
        try:
            entry = self.store.get(key)
        except StoreError as error:
            log(Event.FEED_LOST, prefix=key, error=str(error))
            return
        self.loaded = True
        if entry is None:
            return
        try:
            record = decode_record(entry.value)
        except HeatherhatchError as error:
            log(Event.RECORD_SKIPPED, key=key, error=error.detail)
            return
        self.run_times.restore(record)
        log(
            Event.DECIDED,
            what="run times restored",
            pool=self.pool,
            kinds=len(record.kinds),
            runs=sum(kind.runs for kind in record.kinds),
            revision=entry.revision,
        )

    def start(self) -> None:
        """Start to write the record whenever it is due."""
        self.writer = spawn_supervised(f"run times of pool {self.pool}", self._run)

    def stop(self) -> None:
        """Stop writing the record."""
        if self.writer is not None:
            self.writer.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_PERIOD_S)
            self._count_runs()
            if self.may_write():
                self.step()

    def step(self) -> None:
        """Write the record if it has changed and the last write is long ago."""
        self.load()
        changes = self.run_times.changes
        if not self.loaded or changes == self.written_changes:
            return
        if now_s() - self.written_s < WRITE_INTERVAL_S:
            return
        # The interval counts from the call, also if it fails.
        self.written_s = now_s()
        value = encode_json(self.run_times.snapshot())
        put = Put(learned_key(self.pool), value)
        try:
            outcome = self.store.transact(Transaction((self.claim(),), (put,)))
        except StoreError as error:
            log(Event.WRITE_FAILED, what="run times", pool=self.pool, error=str(error))
            return
        if outcome.succeeded:
            self.written_changes = changes

    def _count_runs(self) -> None:
        for place, count in self.run_times.take_places().items():
            METER.sink.count(Metric.RUN_TIMES_LEARNED, count, label=place)
