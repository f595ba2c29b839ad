"""Settings of the daemon: one typed class with defaults; see settings_file."""

import ipaddress
from dataclasses import dataclass, field
from typing import Literal


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a TCP or UDP port.

    Attributes:
        host: IPv4 or IPv6 number; names are not resolved.
        port: Port, 0 to let the kernel choose.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in ``host:port``.

        Raises:
            ValueError: If the host is no IP number or the port no port.
        """
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
        if not 0 <= number <= 65535:
            raise ValueError(f"port {number} is out of range")
        return cls(host.strip("[]"), number)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this node is.

    Attributes:
        name: Unique name of the node.
        region: Region that the node runs in.
        data_centre: Data centre that the node runs in.
        failure_domain: Failure domain within the data centre.
    """

    name: str
    region: str = "region-1"
    data_centre: str = "dc-1"
    failure_domain: str = "fd-1"


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Where the node accepts connections.

    Attributes:
        callers: Address for work.
        operators: Address for the operators' API.
        peers: Address for the other nodes.
    """

    callers: Address
    operators: Address
    peers: Address


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """How the platform's store is reached.

    Attributes:
        kind: ``etcd`` for a store that speaks the etcd v3 JSON gateway;
            ``memory`` for a trial of one node, which keeps nothing.
        address: Address of the store, for ``etcd``.
        timeout_s: Seconds after which a call is given up.
    """

    kind: Literal["etcd", "memory"] = "etcd"
    address: Address | None = None
    timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How the platform's other services are reached.

    Attributes:
        member_list: Address of the list of live and leaving instances.
        statsd: Address that metrics are sent to.
    """

    member_list: Address | None = None
    statsd: Address | None = None


@dataclass(frozen=True, slots=True)
class SecuritySettings:
    """Secrets that the node starts with.

    Attributes:
        peer_secret: Shared secret by which nodes know each other.
        first_operator_digest: SHA-256 of the secret of the operator key named
            ``first``, valid while the configuration holds no operator key.
    """

    peer_secret: str
    first_operator_digest: str = ""


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Periods of the control loops, in seconds.

    Attributes:
        heartbeat_s: Between two exchanges with a peer.
        standing_s: How long evidence of the log head counts.
        lease_s: Life of the node's registration in the store.
        grace_s: Longest graceful shutdown.
        linger_s: How long a node that shuts down still serves, because the
            balancer's list lags.
        outcome_s: How long the outcome of a keyed request is remembered.
    """

    heartbeat_s: float = 1.0
    standing_s: float = 2.0
    lease_s: float = 6.0
    grace_s: float = 30.0
    linger_s: float = 1.0
    outcome_s: float = 600.0


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Times that concern long jobs, in seconds.

    Attributes:
        claim_s: Life of the dispatcher's claim without renewal.
        look_s: Between two looks of the other nodes at the claim.
        lease_s: After which a task that is not renewed ends itself.
        keep_s: For which an ended job, and its Idempotency-Key, is remembered.
    """

    claim_s: int = 6
    look_s: float = 5.0
    lease_s: float = 15.0
    keep_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what one client can cost.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        idle_s: Seconds that a silent client keeps its connection.
        connections: Open connections for each listener.
        outcome_bytes: Memory for outcomes of keyed requests.
    """

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    idle_s: float = 10.0
    connections: int = 2_000
    outcome_bytes: int = 67_108_864


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    Attributes:
        node, listen, store, platform, security, timing, limits, jobs: Sections.
        log_file: Path of the event log, empty for standard error.
    """

    node: NodeSettings
    listen: ListenSettings
    security: SecuritySettings
    store: StoreSettings = field(default_factory=StoreSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    jobs: JobSettings = field(default_factory=JobSettings)
    log_file: str = ""
