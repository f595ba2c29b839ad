"""Chooses which machines change their pool so that pools follow their demand."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..state.maintenance import Machine, MachineState

ON_WAY = (MachineState.UP, MachineState.MOVING)


@dataclass(frozen=True, slots=True)
class SizeRules:
    """Bounds of the sizes of pools.

    Attributes:
        reserve_cpu_m: Least thousandths of a core that each pool keeps free for
            what comes before another machine can be brought in.
        reserve_share: The same as a part of the pool's even share of the fleet.
        fill: Part of a machine that tasks fill in practice; what is left is too
            small for the next one.
        least: Machines that a pool keeps, so that one may be lost.
        give_s: A machine that is not needed for so long is given back, seconds.
    """

    reserve_cpu_m: int = 32_000
    reserve_share: float = 0.15
    fill: float = 0.9
    least: int = 2
    give_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """What a pool needs.

    Attributes:
        pool: The pool.
        cpu_m: Thousandths of a core that its work would use now.
        idle: Machines on which nothing runs.
    """

    pool: str
    cpu_m: int
    idle: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is known of the machines.

    Attributes:
        machines: Machines of the provider, by name.
        needs: What each working pool needs.
        standby: Pool whose machines are off.
        leaving: Machines that are being emptied for whatever reason.
        cleared: Machines that are empty and take nothing new.
        due: Machines that a wave will take down.
    """

    machines: Mapping[str, Machine]
    needs: Mapping[str, PoolNeed]
    standby: str
    leaving: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SizeChange:
    """What shall change.

    Attributes:
        moves: Machines that can be moved now, with the pool that gets them.
        emptying: Machines to be emptied, so that they can be moved.
    """

    moves: tuple[tuple[str, str], ...] = ()
    emptying: frozenset[str] = frozenset()


@dataclass(slots=True)
class PoolSizer:
    """Follows the demand of the pools over time.

    Attributes:
        rules: Bounds.
        spare_since_s: Since when each pool could do with less.
        giving: Machines that were chosen to leave their pool.
    """

    rules: SizeRules = field(default_factory=SizeRules)
    spare_since_s: dict[str, float] = field(default_factory=dict)
    giving: set[str] = field(default_factory=set)

    def change(self, fleet: Fleet, now_s: float) -> SizeChange:
        """Return what shall change now."""
        self.giving = {
            name
            for name in self.giving
            if name in fleet.machines
            and fleet.machines[name].pool in fleet.needs
            and fleet.machines[name].state is MachineState.UP
        }
        short = {pool: self._short(fleet, pool) for pool in fleet.needs}
        for pool in fleet.needs:
            if short[pool] > 0:
                self._keep(fleet, pool)
        short = {pool: self._short(fleet, pool) for pool in fleet.needs}
        moves = self._fill(fleet, short)
        taken = {name for name, _pool in moves}
        for pool in sorted(fleet.needs):
            self._choose_spare(
                fleet,
                pool,
                any(value > 0 for other, value in short.items() if other != pool),
                now_s,
            )
        for name in sorted(self.giving & fleet.cleared - taken):
            moves.append((name, fleet.standby))
        return SizeChange(
            tuple(moves), frozenset(self.giving - {name for name, _pool in moves})
        )

    def wanted_cpu_m(self, fleet: Fleet, pool: str) -> int:
        """Return the thousandths of a core that a pool should have."""
        total = sum(machine.capacity.cpu_m for machine in fleet.machines.values())
        share = self.rules.reserve_share * total / len(fleet.needs)
        reserve = max(self.rules.reserve_cpu_m, share)
        return int((fleet.needs[pool].cpu_m + reserve) / self.rules.fill)

    def _members(self, fleet: Fleet, pool: str) -> list[Machine]:
        return [
            machine
            for machine in fleet.machines.values()
            if machine.pool == pool
            and machine.state in ON_WAY
            and machine.name not in self.giving
        ]

    def _short(self, fleet: Fleet, pool: str) -> int:
        """Return the thousandths of a core that a pool lacks; negative for spare."""
        staying = [
            machine
            for machine in self._members(fleet, pool)
            if machine.name not in fleet.leaving
        ]
        have = sum(machine.capacity.cpu_m for machine in staying)
        lacking = self.wanted_cpu_m(fleet, pool) - have
        if len(staying) < self.rules.least:
            lacking = max(lacking, 1)
        return lacking

    def _keep(self, fleet: Fleet, pool: str) -> None:
        """Let a pool that became short keep the machines that it was to give."""
        lacking = self._short(fleet, pool)
        own = [name for name in self.giving if fleet.machines[name].pool == pool]
        for name in sorted(own):
            if lacking <= 0:
                return
            self.giving.discard(name)
            lacking -= fleet.machines[name].capacity.cpu_m

    def _fill(self, fleet: Fleet, short: dict[str, int]) -> list[tuple[str, str]]:
        """Bring machines that are off, or were given up, to the pools that lack."""
        free = [
            machine
            for machine in fleet.machines.values()
            if machine.state is MachineState.UP
            and (
                machine.pool == fleet.standby
                or (machine.name in self.giving and machine.name in fleet.cleared)
            )
        ]
        free.sort(key=lambda machine: (machine.name in fleet.due, machine.name))
        moves = []
        for machine in free:
            pool = max(short, key=lambda name: (short[name], name), default="")
            if not pool or short[pool] <= 0:
                break
            if machine.pool == pool:
                continue
            moves.append((machine.name, pool))
            short[pool] -= machine.capacity.cpu_m
        return moves

    def _choose_spare(self, fleet: Fleet, pool: str, asked: bool, now_s: float) -> None:
        """Choose machines to leave a pool that has more than it needs."""
        idle = [
            machine
            for machine in self._members(fleet, pool)
            if machine.name in fleet.needs[pool].idle
            and machine.name not in fleet.leaving
            and machine.state is MachineState.UP
        ]
        idle.sort(key=lambda machine: (machine.name not in fleet.due, machine.name))
        spare = -self._short(fleet, pool)
        count = len(
            [
                machine
                for machine in self._members(fleet, pool)
                if machine.name not in fleet.leaving
            ]
        )
        chosen = []
        for machine in idle:
            if machine.capacity.cpu_m > spare or count <= self.rules.least:
                break
            chosen.append(machine.name)
            spare -= machine.capacity.cpu_m
            count -= 1
        if not chosen:
            self.spare_since_s.pop(pool, None)
            return
        since_s = self.spare_since_s.setdefault(pool, now_s)
        if asked or now_s - since_s >= self.rules.give_s:
            self.giving.update(chosen)
            self.spare_since_s.pop(pool, None)
