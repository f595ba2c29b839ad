"""Interfaces of pools to workers, machines, the policy service and records."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heatherhatch_core.coordination.scheduler import (
    PaceOrder,
    Report,
    StartOrder,
    StartResult,
    StopOrder,
    WorkerInfo,
)
from heatherhatch_core.state.fleet_configuration import FleetConfiguration
from heatherhatch_core.state.maintenance import Machine, Wave, WaveProgress

from ..settings import Address


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """The entry of a worker in the directory.

    Attributes:
        info: Description that the worker has registered.
        address: Address at which the worker accepts orders.
    """

    info: WorkerInfo
    address: Address


@dataclass(frozen=True, slots=True)
class Renewal:
    """A request to renew a worker's lease and to report its runs.

    Attributes:
        deadline_ms: End of the lease by the worker's clock, milliseconds; 0 to
            request a report without a renewal.
        acked: Ends of runs up to this sequence number are stored.
        wait_s: How long the answer may wait for the end of a run, seconds.
    """

    deadline_ms: int
    acked: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Deadline:
    """The end of a lease by the clock of one incarnation of a worker.

    Attributes:
        clock_ms: Reading of its clock, milliseconds.
        born_ms: When this incarnation started, milliseconds since the epoch; 0 if its
            reports do not say.
    """

    clock_ms: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class Permission:
    """The permission to send orders as the holder of a role.

    Attributes:
        token: Fencing token of the role's claim.
        is_valid: Returns whether orders may be sent at this moment.
    """

    token: int
    is_valid: Callable[[], bool]


class WorkerControl(Protocol):
    """Sends orders to one worker.

    A permission is checked when the connection is ready, right before an order goes.

    Every method raises `FencedError` if a newer holder has sent orders to the
    worker, `WrongIncarnationError` if another incarnation of the worker answered, and
    `ExchangeError` if there was no answer.
    """

    def renew(self, renewal: Renewal, permission: Permission) -> Report:
        """Renew the lease; return the runs that are active or have ended."""

    def start(
        self, order: StartOrder, deadline: Deadline, permission: Permission
    ) -> StartResult:
        """Start a run, on the incarnation whose clock the deadline is read from."""

    def stop(self, order: StopOrder, permission: Permission) -> None:
        """Stop a run, or let the worker refuse it if its start arrives later."""

    def pace(self, order: PaceOrder, permission: Permission) -> None:
        """Limit the speed of a run."""

    def close(self) -> None:
        """Close the connections."""


class MachineControl(Protocol):
    """Interface of the machines' provider; every method raises `ExchangeError`."""

    def machines(self) -> tuple[Machine, ...]:
        """Return all machines."""

    def move(
        self, machine: str, pool: str, holder: str, permission: Permission
    ) -> bool:
        """Move a machine to a pool; return False if it is busy now."""

    def maintain(
        self, machine: str, wave: int, holder: str, permission: Permission
    ) -> bool:
        """Start the maintenance of a machine; return False if it is busy now."""


class PolicyService(Protocol):
    """Decides which workers may run a step; raises `ExchangeError`."""

    def request_permits(
        self, step: str, worker_ids: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the tickets of permitted workers, and their lifetime in seconds.

        Args:
            step: Name of the step.
            worker_ids: Workers to ask about.
            timeout_s: How long to wait for the answer, seconds.
        """


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Keys of the operators' and workers' records in the store, and their codecs.

    A decoder returns None for a record that cannot be decoded.

    Attributes:
        prefix: Key prefix of all records that operators write.
        config_key: Key of the configuration.
        wave_prefix: Key prefix of announced waves.
        worker_prefix: Key prefix of the directory of workers.
        wave_status_prefix: Key prefix of the progress of waves, for operators.
        read_config: Decodes a configuration.
        read_wave: Decodes a wave.
        read_worker: Decodes a worker's entry, given its identifier.
        write_wave_progress: Encodes the progress of a wave.
        evacuation_prefix: Key prefix of requests to evacuate a data centre, which the
            rest of the key names; empty if there are none.
    """

    prefix: str
    config_key: str
    wave_prefix: str
    worker_prefix: str
    wave_status_prefix: str
    read_config: Callable[[bytes], FleetConfiguration | None]
    read_wave: Callable[[bytes], Wave | None]
    read_worker: Callable[[str, bytes], DirectoryEntry | None]
    write_wave_progress: Callable[[WaveProgress], bytes]
    evacuation_prefix: str = ""

    @property
    def small_prefixes(self) -> tuple[str, ...]:
        """Prefixes of all records that operators write, except the configuration."""
        if not self.evacuation_prefix:
            return (self.wave_prefix,)
        return (self.evacuation_prefix, self.wave_prefix)


@dataclass(frozen=True, slots=True)
class ExternalPorts:
    """External services that a node uses, apart from the store.

    Attributes:
        open_worker: Opens a connection for orders to a worker.
        machines: Interface of the machines' provider; None if there is none.
        policy: The policy service; None if there is none.
        records: Keys and codecs of operators' and workers' records in the store.
    """

    open_worker: Callable[[DirectoryEntry], WorkerControl]
    machines: MachineControl | None
    policy: PolicyService | None
    records: OperatorRecords
