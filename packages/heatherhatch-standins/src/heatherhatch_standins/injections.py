"""Faults of the platform and of nodes, as steps that begin and end."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.codec import encode_json
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest

from .deployment import Deployment
from .faults import FAULTS_PATH, Faults

TIMEOUT_S = 5.0
STEADY = Faults()


@dataclass(frozen=True, slots=True)
class Injection:
    """One fault.

    Attributes:
        name: Name for tests and for the table in the docs.
        begin: Causes it.
        end: Ends it.
    """

    name: str
    begin: Callable[[Deployment], None]
    end: Callable[[Deployment], None]


def set_faults(address: str, faults: Faults) -> None:
    """Set the faults of one stand-in."""
    client = HttpClient(Address.parse(address), 1, TIMEOUT_S)
    client.exchange(HttpRequest("PUT", FAULTS_PATH, encode_json(faults)), TIMEOUT_S)


def _store(name: str, faults: Faults) -> Injection:
    return Injection(
        name,
        lambda deployment: set_faults(deployment.store, faults),
        lambda deployment: set_faults(deployment.store, STEADY),
    )


def _backends(name: str, faults: Faults) -> Injection:
    """A fault of every backend server in the first failure domain."""

    def change(deployment: Deployment, present: Faults) -> None:
        domain = deployment.edit.workers[0].failure_domain
        for worker in deployment.edit.workers:
            if worker.failure_domain == domain:
                set_faults(deployment.backends[worker.worker_id], present)

    return Injection(
        name,
        lambda deployment: change(deployment, faults),
        lambda deployment: change(deployment, STEADY),
    )


def _kill(deployment: Deployment) -> None:
    deployment.trial.kill(deployment.node_names[1])


def _start(deployment: Deployment) -> None:
    deployment.start_node(deployment.node_names[1])


def _pause(deployment: Deployment) -> None:
    deployment.trial.pause(deployment.node_names[2])


def _resume(deployment: Deployment) -> None:
    deployment.trial.resume(deployment.node_names[2])


INJECTIONS = (
    _store("store-down", Faults(down=True)),
    _store("store-slow", Faults(delay_s=0.7)),
    _store("store-loses-answers", Faults(lost_share=0.3)),
    _store("store-connections-silent", Faults(silent_open=True)),
    _backends("backends-down", Faults(down=True)),
    _backends("backends-slow", Faults(delay_s=0.5)),
    _backends("backends-lose-answers", Faults(lost_share=0.3)),
    _backends("backends-cut-answers", Faults(truncated_share=0.3)),
    _backends("backends-connections-silent", Faults(silent_open=True)),
    Injection("node-killed", _kill, _start),
    Injection("node-paused", _pause, _resume),
)
