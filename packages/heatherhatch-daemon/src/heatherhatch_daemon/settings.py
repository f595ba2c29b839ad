"""Typed settings of the daemon with their defaults; `settings_file` reads them."""

import ipaddress
from dataclasses import dataclass, field
from typing import Literal


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP or UDP port.

    Attributes:
        host: IPv4 or IPv6 address; host names are not resolved.
        port: Port, 0 to let the kernel choose one.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in ``host:port``.

        Raises:
            ValueError: If the host is not an IP address or the port is not valid.
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
    """Identity and location of the node.

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
    """Addresses on which the node accepts connections.

    Attributes:
        callers: Address for requests and jobs of callers.
        operators: Address for the operators' API.
        peers: Address for the other nodes.
    """

    callers: Address
    operators: Address
    peers: Address


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Access to the platform's store.

    Attributes:
        kind: ``etcd`` for a store that speaks the etcd v3 JSON gateway;
            ``memory`` for a trial of one node, without persistence.
        address: Address of the store; required for ``etcd``.
        timeout_s: Timeout of a call in seconds.
    """

    kind: Literal["etcd", "memory"] = "etcd"
    address: Address | None = None
    timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Access to other services of the platform.

    Attributes:
        member_list: Address of the list of live and leaving instances, None if
            there is no list.
        statsd: Address that metrics are sent to, None to send none.
    """

    member_list: Address | None = None
    statsd: Address | None = None


@dataclass(frozen=True, slots=True)
class SecuritySettings:
    """Secrets of the node.

    Attributes:
        peer_secret: Shared secret by which nodes authenticate each other.
        first_operator_digest: SHA-256 of the secret of the operator key named
            ``first``, valid while the configuration holds no operator key.
    """

    peer_secret: str
    first_operator_digest: str = ""


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Intervals and timeouts of the control loops, in seconds.

    Attributes:
        heartbeat_s: Interval between heartbeats to the same peer.
        standing_s: Time for which evidence of the head of the change log is valid.
        lease_s: Lifetime of the node's registration in the store without renewal.
        grace_s: Timeout of a graceful shutdown.
        linger_s: Time for which a node that shuts down still accepts requests,
            because the load balancer's list lags.
        outcome_s: Time for which the outcome of a request with an idempotency key
            is kept.
    """

    heartbeat_s: float = 1.0
    standing_s: float = 2.0
    lease_s: float = 6.0
    grace_s: float = 30.0
    linger_s: float = 1.0
    outcome_s: float = 600.0


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Intervals and lifetimes for long jobs, in seconds.

    Attributes:
        claim_s: Lifetime of the dispatcher's claim without renewal.
        look_s: Interval at which the other nodes check the claim.
        lease_s: Lifetime of a task's lease; a task stops itself without renewal.
        keep_s: Time for which an ended job and its Idempotency-Key are kept.
    """

    claim_s: int = 6
    look_s: float = 5.0
    lease_s: float = 15.0
    keep_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the resources that clients can use.

    Attributes:
        body_bytes: Size of the largest accepted request body, in bytes.
        body_memory_bytes: Memory in bytes for what the request bodies of a listener
            have beyond 8 KiB each.
        header_bytes: Size of the largest accepted request head, in bytes.
        idle_s: Seconds after which the connection of an inactive client is closed.
        connections: Highest number of open connections for each listener.
        outcome_bytes: Memory in bytes for outcomes of requests with an idempotency
            key.
    """

    body_bytes: int = 1_048_576
    body_memory_bytes: int = 33_554_432
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
