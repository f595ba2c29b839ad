"""What pools need of the outside: workers, machines, policy, operators' records."""

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
    """A worker in the directory.

    Attributes:
        info: What it says of itself.
        address: Where it takes orders.
    """

    info: WorkerInfo
    address: Address


@dataclass(frozen=True, slots=True)
class Renewal:
    """A renewal of a worker's lease, and the question what it runs.

    Attributes:
        deadline_ms: End of the lease by the worker's clock; 0 to only ask.
        acked: Ends up to this number are stored.
        wait_s: How long the answer may wait for an end, seconds.
    """

    deadline_ms: int
    acked: int
    wait_s: float


class WorkerControl(Protocol):
    """Orders to one worker.

    Every method raises `FencedError` if a newer holder has given orders there,
    `WrongLifeError` if another life of the worker answered, and `ExchangeError`
    if there was no answer.
    """

    def renew(self, renewal: Renewal, token: int) -> Report:
        """Renew the lease and return what runs and what has ended."""

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> StartResult:
        """Begin a run."""

    def stop(self, order: StopOrder, token: int) -> None:
        """End a run, or let the worker refuse it when it comes."""

    def pace(self, order: PaceOrder, token: int) -> None:
        """Set the pace of a run."""

    def close(self) -> None:
        """Close the connections."""


class MachineControl(Protocol):
    """The provider's interface to machines; raises `ExchangeError`."""

    def machines(self) -> tuple[Machine, ...]:
        """Return all machines."""

    def move(self, machine: str, pool: str, holder: str, token: int) -> bool:
        """Move a machine to a pool; return False if it is busy now."""

    def maintain(self, machine: str, wave: int, holder: str, token: int) -> bool:
        """Begin the maintenance of a machine; return False if it is busy now."""


class PolicyService(Protocol):
    """Tells which workers may run a step; raises `ExchangeError`."""

    def ask(self, step: str, worker_ids: list[str]) -> tuple[dict[str, str], float]:
        """Return the ticket of each worker that may, and their life in seconds."""


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Where operators' and workers' records lie in the store, and their decoders.

    A decoder returns None for a record that can't be read.

    Attributes:
        prefix: Prefix of all that operators write.
        config_key: Key of the configuration.
        wave_prefix: Prefix of announced waves.
        worker_prefix: Prefix of the directory of workers.
        wave_status_prefix: Prefix of the progress that operators read.
        read_config: Decodes a configuration.
        read_wave: Decodes a wave.
        read_worker: Decodes a worker's entry, given its identifier.
        write_wave_progress: Encodes the progress of a wave.
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


@dataclass(frozen=True, slots=True)
class Outside:
    """All that a node needs of the outside besides the store.

    Attributes:
        worker_control: Opens the control of a worker.
        machines: The provider's interface; None if there is none.
        policy: The policy service; None if there is none.
        records: Operators' and workers' records in the store.
    """

    worker_control: Callable[[DirectoryEntry], WorkerControl]
    machines: MachineControl | None
    policy: PolicyService | None
    records: OperatorRecords
