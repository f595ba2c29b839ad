"""The configuration that results from the log of accepted changes."""

from collections import Counter
from dataclasses import dataclass, field

from .entities import (
    Assignment,
    OperatorKey,
    Pool,
    Team,
    TeamKey,
    Wave,
    WorkClass,
    Worker,
    WorkerState,
)
from .fleet_index import FleetIndex, build_index


@dataclass(frozen=True, slots=True)
class Configuration:
    """All entities in force at one position in the log.

    It is immutable; ``changes.apply_change`` returns its successor.

    Attributes:
        seq: Position of the last change that was applied, 0 if none was.
        pools, teams, team_keys, operator_keys, classes, workers, waves, assignments:
            Entities by their unique names.
    """

    seq: int = 0
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    team_keys: dict[str, TeamKey] = field(default_factory=dict)
    operator_keys: dict[str, OperatorKey] = field(default_factory=dict)
    classes: dict[str, WorkClass] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    assignments: dict[str, Assignment] = field(default_factory=dict)
    # Derived from workers and assignments; msgspec does not encode fields with a
    # leading underscore.
    _index: FleetIndex | None = field(
        default=None, init=False, repr=False, compare=False
    )

    @property
    def index(self) -> FleetIndex:
        """Index of the serving workers of each pool, built on first use."""
        if self._index is None:
            self.set_index(build_index(self))
        return self._index

    def set_index(self, index: FleetIndex) -> None:
        """Store an index, for example one updated from the predecessor's index."""
        object.__setattr__(self, "_index", index)

    def pool_of(self, worker_id: str) -> str:
        """Return the pool that a worker currently belongs to."""
        assignment = self.assignments.get(worker_id)
        if assignment is not None:
            return assignment.pool
        return self.workers[worker_id].home_pool

    def state_of(self, worker_id: str) -> WorkerState:
        """Return the state of a worker."""
        assignment = self.assignments.get(worker_id)
        return assignment.state if assignment is not None else WorkerState.SERVING

    def serving_workers(self, pool: str) -> tuple[Worker, ...]:
        """Return the workers that currently serve a pool, ordered by name."""
        return self.index.serving.get(pool, ())

    def workers_of(self, pool: str) -> tuple[Worker, ...]:
        """Return the workers whose home pool is the given pool, ordered by name."""
        return tuple(
            self.workers[name]
            for name in sorted(self.workers)
            if self.workers[name].home_pool == pool
        )

    def problems(self) -> list[str]:
        """Return a sentence for each problem that makes the configuration invalid."""
        return [
            *self._range_problems(),
            *self._reference_problems(),
            *self._budget_problems(),
        ]

    def _range_problems(self) -> list[str]:
        found = []
        for team in self.teams.values():
            if team.share <= 0:
                found.append(f"team {team.name!r}: share must be above 0")
            if team.limit < 0:
                found.append(f"team {team.name!r}: limit must not be negative")
        for work in self.classes.values():
            if work.target_s <= 0:
                found.append(f"class {work.name!r}: target_s must be above 0")
            if not 0 < work.on_time_share <= 1:
                found.append(f"class {work.name!r}: on_time_share must be in (0, 1]")
        for wave in self.waves.values():
            if wave.end_s <= wave.start_s:
                found.append(f"wave {wave.wave_id!r}: end must be after start")
        return found

    def _reference_problems(self) -> list[str]:
        found = []
        for work in self.classes.values():
            if work.pool not in self.pools:
                found.append(f"class {work.name!r}: unknown pool {work.pool!r}")
        for key in self.team_keys.values():
            if key.team not in self.teams:
                found.append(f"key {key.key_id!r}: unknown team {key.team!r}")
        for worker in self.workers.values():
            if worker.home_pool not in self.pools:
                found.append(f"worker {worker.worker_id!r}: unknown home pool")
        for item in self.assignments.values():
            if item.worker_id not in self.workers:
                found.append(f"assignment of unknown worker {item.worker_id!r}")
            if item.pool not in self.pools:
                found.append(
                    f"assignment of {item.worker_id!r}: unknown pool {item.pool!r}"
                )
        return found

    def _budget_problems(self) -> list[str]:
        sizes = Counter(worker.home_pool for worker in self.workers.values())
        return [
            f"pool {pool.name!r}: min_available {pool.min_available} is above"
            f" its {sizes[pool.name]} workers"
            for pool in self.pools.values()
            if sizes[pool.name] and pool.min_available > sizes[pool.name]
        ]
