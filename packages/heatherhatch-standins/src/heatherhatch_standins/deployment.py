"""Deployment of a trial: the stand-ins, the nodes and the first configuration."""

import dataclasses
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from heatherhatch_cli.client import Client, new_change_id
from heatherhatch_core.api import (
    ChangeAnswer,
    ChangeRequest,
    Status,
)
from heatherhatch_core.codec import from_builtins
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.keys import new_key
from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import TeamKey

from .ports import free_ports
from .processes import FIRST_TOKEN, Trial, node_settings
from .serving import LOOPBACK

PORTS_PER_NODE = 3
START_TIMEOUT_S = 20.0
POLL_S = 0.05


def read_edit(path: Path) -> Edit:
    """Return the configuration edit that a YAML file holds."""
    return from_builtins(yaml.safe_load(path.read_text(encoding="utf-8")), Edit)


@dataclass(frozen=True, slots=True)
class GrantedKey:
    """A team's key and the position in the log of the change that added it."""

    seq: int
    key_id: str
    token: str


class Deployment:
    """Nodes together with their store, backend servers, workers and load balancer.

    Args:
        trial: Trial that owns the processes.
        name: Prefix of the names of the processes.
        edit: First configuration; the addresses of the workers are filled in.
        nodes: Number of nodes.
        data_centres: Number of data centres that the nodes are spread over.
        work_s: Seconds that a backend server spends on a request.
        slots: Requests that a backend server executes concurrently.
        separate_store_addresses: True to give each node its own address of the
            store, so that store faults can be set for one node.
    """

    def __init__(
        self,
        trial: Trial,
        name: str,
        edit: Edit,
        nodes: int = 7,
        data_centres: int = 3,
        work_s: float = 0.002,
        slots: int = 32,
        separate_store_addresses: bool = False,
    ):
        self.trial = trial
        self.name = name
        self.edit = edit
        self.data_centres = data_centres
        self.work_s = work_s
        self.slots = slots
        self.separate_store_addresses = separate_store_addresses
        self.node_names = tuple(f"{name}-node-{i + 1}" for i in range(nodes))
        self.ports: dict[str, tuple[int, int, int]] = {}
        self.store = ""
        self.stores: dict[str, str] = {}
        self.sections: dict[str, dict] = {}
        self.balancer = ""
        self.backends: dict[str, str] = {}
        self.workers: dict[str, str] = {}

    def start(self) -> None:
        """Start all processes and apply the first configuration."""
        self._start_store()
        self._start_workers()
        ports = free_ports(PORTS_PER_NODE * len(self.node_names))
        for i, node in enumerate(self.node_names):
            self.ports[node] = ports[PORTS_PER_NODE * i : PORTS_PER_NODE * (i + 1)]
            self.start_node(node)
        callers = [self.caller_address(node) for node in self.node_names]
        self.balancer = self.trial.start_standin(
            f"{self.name}-balancer", "balancer", *callers
        )
        self._wait_for_nodes()
        self.change(self.edit)

    def start_node(self, node: str) -> None:
        """Start or restart one node."""
        data_centre = self.node_names.index(node) % self.data_centres + 1
        store = self.stores.get(node, self.store)
        settings = node_settings(node, self.ports[node], store, f"dc-{data_centre}")
        self.trial.start_daemon(node, {**settings, **self.sections})

    def caller_address(self, node: str) -> str:
        """Return the ``host:port`` where a node accepts requests and jobs."""
        return f"{LOOPBACK}:{self.ports[node][0]}"

    def operator_address(self, node: str) -> str:
        """Return the ``host:port`` of a node's operator API."""
        return f"{LOOPBACK}:{self.ports[node][1]}"

    def client(self, node: str = "") -> Client:
        """Return a client of a node's operator API, of the first node by default."""
        return Client(self.operator_address(node or self.node_names[0]), FIRST_TOKEN)

    def change(self, edit: Edit, node: str = "") -> int:
        """Submit a change and return its position in the log."""
        request = ChangeRequest(new_change_id(), edit, "trial")
        return self.client(node).post("/v1/changes", request, ChangeAnswer).seq

    def grant_key(self, team: str, node: str = "") -> GrantedKey:
        """Create a key for a team and add it to the configuration."""
        key = new_key(team)
        edit = Edit(team_keys=(TeamKey(key.key_id, team, key.digest),))
        return GrantedKey(self.change(edit, node), key.key_id, key.token)

    def wait_for_seq(self, seq: int) -> None:
        """Wait until a change is in force on every node."""
        for node in self.node_names:
            self._wait(node, lambda status: status.seq >= seq)

    def _start_store(self) -> None:
        count = len(self.node_names) if self.separate_store_addresses else 1
        name = f"{self.name}-store"
        printed = self.trial.start_standin(name, "store", "--doors", str(count))
        addresses = printed.split()
        self.store = addresses[0]
        if self.separate_store_addresses:
            self.stores = dict(zip(self.node_names, addresses, strict=True))

    def _start_workers(self) -> None:
        count = str(len(self.edit.workers))
        backends = self.trial.start_standin(
            f"{self.name}-backends",
            "backend",
            "--count",
            count,
            "--work-s",
            str(self.work_s),
            "--slots",
            str(self.slots),
        )
        controls = self.trial.start_standin(
            f"{self.name}-workers", "worker", "--count", count
        )
        filled = []
        for worker, backend, control in zip(
            self.edit.workers, backends.split(), controls.split(), strict=True
        ):
            filled.append(
                dataclasses.replace(
                    worker, address=backend, control=control, cpus=self.slots
                )
            )
            self.backends[worker.worker_id] = backend
            self.workers[worker.worker_id] = control
        self.edit = dataclasses.replace(self.edit, workers=tuple(filled))

    def _wait_for_nodes(self) -> None:
        others = len(self.node_names) - 1
        for node in self.node_names:
            self._wait(node, lambda status: _ready(status, others))

    def _wait(self, node, condition):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if condition(self.client(node).get("/v1/status", Status)):
                    return
            except HeatherhatchError:
                # The node is not listening yet.
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"{node} is not ready after {START_TIMEOUT_S} s")


def _ready(status: Status, others: int) -> bool:
    connected = [node for node in status.nodes if node.heard_s >= 0]
    return status.standing and len(connected) == others
