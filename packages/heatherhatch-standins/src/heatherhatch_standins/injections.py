"""Faults of the platform and of nodes that can be started and ended."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherhatch_core.codec import encode_json
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest

from .deployment import Deployment
from .faults import FAULTS_PATH, Faults

TIMEOUT_S = 5.0
NO_FAULTS = Faults()


@dataclass(frozen=True, slots=True)
class Injection:
    """One fault.

    Attributes:
        name: Name in the tests and in the table of the documentation.
        begin: Starts the fault in a deployment.
        end: Ends the fault in a deployment.
    """

    name: str
    begin: Callable[[Deployment], None]
    end: Callable[[Deployment], None]


def set_faults(address: str, faults: Faults) -> None:
    """Set the faults of one stand-in."""
    client = HttpClient(Address.parse(address), 1, TIMEOUT_S)
    client.exchange(HttpRequest("PUT", FAULTS_PATH, encode_json(faults)), TIMEOUT_S)


def _store_fault(name: str, faults: Faults) -> Injection:
    return Injection(
        name,
        lambda deployment: set_faults(deployment.store, faults),
        lambda deployment: set_faults(deployment.store, NO_FAULTS),
    )


def _backend_fault(name: str, faults: Faults) -> Injection:
    """Return a fault of all backend servers in the first worker's failure domain."""

    def set_all(deployment: Deployment, new_faults: Faults) -> None:
        domain = deployment.edit.workers[0].failure_domain
        for worker in deployment.edit.workers:
            if worker.failure_domain == domain:
                set_faults(deployment.backends[worker.worker_id], new_faults)

    return Injection(
        name,
        lambda deployment: set_all(deployment, faults),
        lambda deployment: set_all(deployment, NO_FAULTS),
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
    _store_fault("store-down", Faults(down=True)),
    _store_fault("store-slow", Faults(delay_s=0.7)),
    _store_fault("store-loses-answers", Faults(lost_share=0.3)),
    _store_fault("store-connections-silent", Faults(silent_open=True)),
    _backend_fault("backends-down", Faults(down=True)),
    _backend_fault("backends-slow", Faults(delay_s=0.5)),
    _backend_fault("backends-lose-answers", Faults(lost_share=0.3)),
    _backend_fault("backends-cut-answers", Faults(truncated_share=0.3)),
    _backend_fault("backends-connections-silent", Faults(silent_open=True)),
    Injection("node-killed", _kill, _start),
    Injection("node-paused", _pause, _resume),
)
