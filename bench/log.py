"""Measures size and processing time of the configuration log at the target size."""

import time
import uuid

from heatherhatch_core.keys import digest_of
from heatherhatch_core.state.changes import Change, Edit, check_edit
from heatherhatch_core.state.entities import Pool, Team, TeamKey, Worker
from heatherhatch_core.state.log import (
    MAX_KNOWN_CHANGES,
    ChangeLog,
    KnownChange,
    pack_log,
    unpack_log,
)

WORKERS = 2_600
POOLS = 43
TEAMS = 50
KEYS_PER_TEAM = 4
CHANGES = 200
SNAPSHOT_TARGET_BYTES = 1_000_000
HASH_BYTES = 8


def run() -> None:
    """Print the size of a snapshot and the time to apply a change."""
    log = ChangeLog().apply(Change(1, "first", "bench", "", 0.0, first_edit()))
    known = {
        uuid.uuid4().hex: KnownChange(i, digest_of(str(i))[:HASH_BYTES].encode())
        for i in range(MAX_KNOWN_CHANGES - 1)
    }
    log = ChangeLog(log.config, known, log.recent)
    started_s = time.perf_counter()
    data = pack_log(log)
    packed_s = time.perf_counter()
    unpack_log(data)
    print_figure("log.snapshot.bytes", len(data), "B", SNAPSHOT_TARGET_BYTES)
    print(f"log.snapshot.pack {(packed_s - started_s) * 1e3:.1f} ms")
    print(f"log.snapshot.unpack {(time.perf_counter() - packed_s) * 1e3:.1f} ms")
    started_s = time.perf_counter()
    for i in range(CHANGES):
        key = TeamKey(f"new-{i}", f"team-{i % TEAMS}", digest_of(str(i)))
        edit = Edit(team_keys=(key,))
        check_edit(log.config, edit)
        log = log.apply(Change(log.seq + 1, str(i), "bench", "", 0.0, edit))
    mean_ms = (time.perf_counter() - started_s) * 1e3 / CHANGES
    print(f"log.change {mean_ms:.3f} ms")


def first_edit() -> Edit:
    """Return an edit that creates a configuration of the target size."""
    return Edit(
        pools=tuple(Pool(f"pool-{i}", 0) for i in range(POOLS)),
        teams=tuple(Team(f"team-{i}", 1.0, 100) for i in range(TEAMS)),
        team_keys=tuple(
            TeamKey(f"team-{i}-{k}", f"team-{i}", digest_of(f"{i}-{k}"))
            for i in range(TEAMS)
            for k in range(KEYS_PER_TEAM)
        ),
        workers=tuple(
            Worker(
                f"worker-{i:04d}",
                f"fd-{i % 24}",
                f"rack-{i // 4}",
                f"10.{i % 8}.{i // 250}.{i % 250}:8080",
                f"pool-{i % POOLS}",
            )
            for i in range(WORKERS)
        ),
    )


def print_figure(name: str, value: float, unit: str, target: float) -> None:
    """Print one measurement and, where it is missed, its target."""
    note = f" MISSED target {target:g}" if value > target else ""
    print(f"{name} {value:.0f} {unit}{note}")
