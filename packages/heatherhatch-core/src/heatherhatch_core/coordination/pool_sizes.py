"""Moves machines between pools so that the pool sizes follow the demand."""

from dataclasses import dataclass, field

from ..feature_gates import ALL_ENABLED, FeatureGates
from ..state.maintenance import Machine, MachineState
from .fleet_sizes import FleetView, PoolNeed, SizeChange
from .fleet_start import FleetStart
from .handover import Handover

__all__ = ["FleetView", "PoolNeed", "PoolSizer", "SizeChange", "SizeRules"]

STATES_IN_POOL = (MachineState.UP, MachineState.MOVING)
# An evacuation that is withdrawn within this time moves no machine.
EVACUATED_RELEASE_S = 1.0


@dataclass(frozen=True, slots=True)
class SizeRules:
    """Limits for the sizes of pools.

    Attributes:
        reserve_machines: Minimum headroom of each pool, in machines of mean size.
        reserve_share: Headroom of a pool whose work is all urgent, as a share of the
            pool's equal part of the fleet. It covers the work that arrives before
            another machine can be added and that cannot wait for it.
        full_reserve_share: Share of urgent jobs from which on a pool keeps the whole
            reserve. Estimates that are too long make urgent jobs look patient.
        min_machines: Number of machines that a pool keeps, so that it can lose
            one.
        release_after_s: Time after which unneeded machines are released, seconds.
        gates: Optional mechanisms that are enabled.
    """

    reserve_machines: float = 1.0
    reserve_share: float = 0.18
    full_reserve_share: float = 0.5
    min_machines: int = 2
    release_after_s: float = 0.5
    gates: FeatureGates = ALL_ENABLED


@dataclass(slots=True)
class PoolSizer:
    """Adapts the sizes of pools to their demand over time.

    Attributes:
        rules: Limits for the sizes of pools.
        surplus_since_s: When each pool first had machines to spare, monotonic
            seconds.
        evacuated_idle_since_s: When each idle machine of a pool was first seen in an
            evacuated data centre, monotonic seconds.
        releasing: Machines that were chosen to leave their pool.
        handover: Machines that leave late work for on-time work of other pools.
        start: Machines that have come up since the first plan.
    """

    rules: SizeRules = field(default_factory=SizeRules)
    surplus_since_s: dict[str, float] = field(default_factory=dict)
    evacuated_idle_since_s: dict[str, float] = field(default_factory=dict)
    releasing: set[str] = field(default_factory=set)
    handover: Handover = field(default_factory=Handover)
    start: FleetStart = field(default_factory=FleetStart)

    def plan(self, fleet: FleetView, now_s: float) -> SizeChange:
        """Return the changes to make now."""
        if self.rules.gates.await_start:
            fleet = self.start.with_starting(fleet, now_s)
        self.releasing = fleet.still_in_pools(self.releasing)
        # A machine that is evacuated meanwhile cannot serve another pool.
        leaving = self.handover.leaving - fleet.evacuated
        self.handover.leaving = fleet.still_in_pools(leaving)
        short = {pool: self._shortfall_cpu_m(fleet, pool) for pool in fleet.needs}
        for pool in fleet.needs:
            if short[pool] > 0:
                self._cancel_releases(fleet, pool)
        self.handover.keep_own(fleet, self._lacking_on_time(fleet))
        self._update_handover(fleet)
        short = {pool: self._shortfall_cpu_m(fleet, pool) for pool in fleet.needs}
        moves = self._assign_free(fleet, short)
        taken = {name for name, _pool in moves}
        for pool in sorted(fleet.needs):
            self._choose_releases(
                fleet,
                pool,
                any(value > 0 for other, value in short.items() if other != pool),
                now_s,
            )
        self._release_evacuated(fleet, now_s)
        for name in sorted(self.releasing & fleet.cleared - taken):
            moves.append((name, fleet.standby))
        leaving = self.releasing | self.handover.leaving
        return SizeChange(
            tuple(moves), frozenset(leaving - {name for name, _pool in moves})
        )

    def _update_handover(self, fleet: FleetView) -> None:
        if not self.rules.gates.handover:
            return
        self.handover.update(
            fleet,
            self._lacking_on_time(fleet),
            {pool: self._staying(fleet, pool) for pool in fleet.needs},
            sum(machine.capacity.cpu_m for machine in self._free(fleet)),
            self.rules.min_machines,
        )

    def target_cpu_m(self, fleet: FleetView, pool: str) -> int:
        """Return the CPU that a pool should have, in thousandths of a core."""
        usable = [
            machine.capacity.cpu_m
            for machine in fleet.machines.values()
            if machine.name not in fleet.evacuated
        ]
        need = fleet.needs[pool]
        share = self.rules.reserve_share * sum(usable) / fleet.pool_count
        mean = sum(usable) / max(1, len(usable))
        urgency = 1.0
        if self.rules.gates.urgency_reserve:
            urgency = min(1.0, need.urgent_share / self.rules.full_reserve_share)
        reserve = max(self.rules.reserve_machines * mean, urgency * share)
        return int(need.cpu_m + reserve)

    def _members(self, fleet: FleetView, pool: str) -> list[Machine]:
        return [
            machine
            for machine in fleet.machines.values()
            if machine.pool == pool
            and machine.state in STATES_IN_POOL
            and machine.name not in self.releasing
            and machine.name not in self.handover.leaving
            and machine.name not in fleet.evacuated
        ]

    def _staying(self, fleet: FleetView, pool: str) -> list[Machine]:
        members = self._members(fleet, pool)
        return [item for item in members if item.name not in fleet.draining]

    def _shortfall_cpu_m(self, fleet: FleetView, pool: str) -> int:
        """Return the CPU that a pool lacks, in thousandths of a core.

        A negative value is a surplus.
        """
        staying = self._staying(fleet, pool)
        have = sum(machine.capacity.cpu_m for machine in staying)
        lacking = self.target_cpu_m(fleet, pool) - have
        if len(staying) < self.rules.min_machines:
            lacking = max(lacking, 1)
        return lacking

    def _lacking_on_time(self, fleet: FleetView) -> dict[str, int]:
        """Return the CPU that each pool lacks for work that can be on time.

        It is in thousandths of a core, without reserve; a negative value is a surplus.
        """
        return {
            pool: need.on_time_cpu_m
            - sum(item.capacity.cpu_m for item in self._staying(fleet, pool))
            for pool, need in fleet.needs.items()
        }

    def _cancel_releases(self, fleet: FleetView, pool: str) -> None:
        """Cancel releases of machines of a pool that has become short of CPU."""
        lacking = self._shortfall_cpu_m(fleet, pool)
        own = [
            name
            for name in self.releasing - fleet.evacuated
            if fleet.machines[name].pool == pool
        ]
        for name in sorted(own):
            if lacking <= 0:
                return
            self.releasing.discard(name)
            lacking -= fleet.machines[name].capacity.cpu_m

    def _free(self, fleet: FleetView) -> list[Machine]:
        """Return the machines that can be moved now, those due for a wave last."""
        leaving = (self.releasing | self.handover.leaving) & fleet.cleared
        free = [
            machine
            for machine in fleet.machines.values()
            if machine.state is MachineState.UP
            and machine.name not in fleet.evacuated
            and (machine.pool == fleet.standby or machine.name in leaving)
        ]
        free.sort(key=lambda machine: (machine.name in fleet.due, machine.name))
        return free

    def _assign_free(
        self, fleet: FleetView, short: dict[str, int]
    ) -> list[tuple[str, str]]:
        """Assign the free machines to the pools that lack CPU.

        Work that can be on time comes first: what is late loses little more by
        waiting.
        """
        on_time = self._lacking_on_time(fleet)
        moves = []
        for machine in self._free(fleet):
            pool = max(
                short, key=lambda name: (max(0, on_time[name]), short[name], name)
            )
            if short[pool] <= 0:
                break
            if machine.pool == pool:
                continue
            moves.append((machine.name, pool))
            short[pool] -= machine.capacity.cpu_m
            on_time[pool] -= machine.capacity.cpu_m
        return moves

    def _release_evacuated(self, fleet: FleetView, now_s: float) -> None:
        """Release idle machines of evacuated data centres, which count for no pool.

        They are released after a while only, as a request may be withdrawn at once.
        """
        idle = {
            name
            for need in fleet.needs.values()
            for name in need.idle & fleet.evacuated
            if name in fleet.machines
            and fleet.machines[name].pool == need.pool
            and fleet.machines[name].state is MachineState.UP
            and name not in fleet.draining
        }
        since_s = {
            name: self.evacuated_idle_since_s.get(name, now_s) for name in sorted(idle)
        }
        self.evacuated_idle_since_s = since_s
        self.releasing.update(
            name
            for name, at_s in since_s.items()
            if now_s - at_s >= EVACUATED_RELEASE_S
        )

    def _choose_releases(
        self, fleet: FleetView, pool: str, others_short: bool, now_s: float
    ) -> None:
        """Choose machines to release from a pool that has a surplus."""
        idle = [
            machine
            for machine in self._members(fleet, pool)
            if machine.name in fleet.needs[pool].idle
            and machine.name not in fleet.draining
            and machine.state is MachineState.UP
        ]
        idle.sort(key=lambda machine: (machine.name not in fleet.due, machine.name))
        spare = -self._shortfall_cpu_m(fleet, pool)
        count = len(self._staying(fleet, pool))
        chosen = []
        for machine in idle:
            if machine.capacity.cpu_m > spare or count <= self.rules.min_machines:
                break
            chosen.append(machine.name)
            spare -= machine.capacity.cpu_m
            count -= 1
        if not chosen:
            self.surplus_since_s.pop(pool, None)
            return
        since_s = self.surplus_since_s.setdefault(pool, now_s)
        if others_short or now_s - since_s >= self.rules.release_after_s:
            self.releasing.update(chosen)
            self.surplus_since_s.pop(pool, None)
