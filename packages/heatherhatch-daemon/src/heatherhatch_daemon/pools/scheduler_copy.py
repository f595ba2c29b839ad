"""Builds a copy of a pool's scheduler from the store, as a new holder does."""

from collections.abc import Iterator
from contextlib import contextmanager

from heatherhatch_core.coordination.scheduler import Rules, Scheduler
from heatherhatch_core.exceptions import StoreError
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.resources import NO_RESOURCES

from ..events import LOG, Event
from ..transport.store import Entry, Expect, PolledStore, Snapshot
from .clock import now_s
from .committer import Committer
from .directory import Directory
from .evacuation_requests import EvacuationRequests
from .pool_grants import PoolGrants
from .pool_records import PoolRecords
from .ports import DirectoryEntry, OperatorRecords
from .record_watchers import PlanWatcher

PROBLEMS = (Event.RECORD_SKIPPED, Event.FEED_LOST, Event.TASK_FAILED)
NO_CLAIM = Expect("", 0)  # nothing is written, so that it is never sent


class ReadOnlyStore:
    """The reads of a store, so that no code that is run here can write.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: PolledStore):
        self._store = store

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""
        return self._store.get(key)

    def range(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix."""
        return self._store.range(prefix)


def load_scheduler(
    store: ReadOnlyStore,
    records: OperatorRecords,
    config: FleetConfiguration,
    pool: str,
) -> tuple[Scheduler, list[str]]:
    """Return a pool's scheduler as a new holder builds it, and the problems seen.

    Each worker that the directory lists counts as one that has answered.

    Args:
        store: The platform's store.
        records: Keys and decoders of the operators' and workers' records.
        config: The configuration.
        pool: Name of the pool.

    Raises:
        StoreError: If the store does not answer.
    """
    scheduler = Scheduler(pool, Rules(), now_s())
    scheduler.configure(config)
    problems: list[str] = []
    committer = Committer(
        store, pool, _no_claim, lambda: False, lambda _writes: None, problems.append
    )
    pool_records = PoolRecords(
        store, pool, scheduler, committer, lambda: None, problems.append
    )
    with _collected(problems):
        if not pool_records.load(0):
            raise StoreError(f'the records of pool "{pool}" were not read')
        _read_fleet(store, config, scheduler)
        _read_evacuations(store, records, scheduler)
        _read_workers(store, records, scheduler)
    return scheduler, problems


def _read_fleet(
    store: ReadOnlyStore, config: FleetConfiguration, scheduler: Scheduler
) -> None:
    """Read the coordinator's plan and the grants of the teams."""
    watcher = PlanWatcher(store)
    for feed in watcher.feeds:
        feed.read()
    plan = watcher.plan
    scheduler.set_drains(plan.vacating, plan.resting, frozenset(plan.due))
    grants = PoolGrants(store, watcher, scheduler.state.pool, _no_claim, scheduler)
    grants.turns.active = frozenset(config.active_pools())
    for team in config.teams:
        if team.limit != NO_RESOURCES:
            grants.set_allowance(team.name, team.limit)


def _read_evacuations(
    store: ReadOnlyStore, records: OperatorRecords, scheduler: Scheduler
) -> None:
    requests = EvacuationRequests(records.evacuation_prefix)
    if requests.prefix:
        for entry in store.range(requests.prefix).entries:
            requests.note_written(entry)
    scheduler.set_evacuated(requests.since_s, now_s())


def _read_workers(
    store: ReadOnlyStore, records: OperatorRecords, scheduler: Scheduler
) -> None:
    def add(entry: DirectoryEntry) -> None:
        if entry.info.pool == scheduler.state.pool:
            scheduler.update_worker(entry.info, now_s())
            scheduler.state.workers[entry.info.worker_id].fenced = True
        else:
            scheduler.note_machine_left(entry.info)

    Directory(store, records, add, scheduler.remove_worker).feed.read()


@contextmanager
def _collected(problems: list[str]) -> Iterator[None]:
    """Collect log lines about records that cannot be read; drop the others."""

    def sink(event: Event, details: dict) -> None:
        if event in PROBLEMS:
            text = ", ".join(f"{name} {value}" for name, value in details.items())
            problems.append(f"{event.name.lower()}: {text}")

    previous, LOG.sink = LOG.sink, sink
    try:
        yield
    finally:
        LOG.sink = previous


def _no_claim() -> Expect:
    return NO_CLAIM
