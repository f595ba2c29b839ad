"""Measures the time from the withdrawal of a team key until all nodes refuse it."""

import time

from heatherhatch_core.codec import encode_json
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.processes import Trial

NODES = 7
ROUNDS = 5
TIMEOUT_S = 5.0
WAIT_AFTER_FAULTS_S = 2.0
POLL_S = 0.01
TARGET_MS = 3_000.0
ACCEPTED_STATUS = 200
CASES = {
    "all_well": ((), Faults()),
    "one_without_store": ((3,), Faults(down=True)),
    "store_slow": (range(NODES), Faults(delay_s=0.2)),
    "answers_lost": (range(NODES), Faults(lost_share=0.3)),
}

EDIT = Edit(
    pools=(Pool("tills", 1),),
    teams=(Team("red", 1.0, 1_000),),
    classes=(WorkClass("stock", "tills", WorkKind.REQUEST, 2.0, idempotent=True),),
    workers=(Worker("w1", "fd-1", "r1", "127.0.0.1:1", "tills"),),
)


def run() -> None:
    """Print the longest of several withdrawals in each case."""
    with Trial() as trial:
        deployment = Deployment(
            trial, "withdrawal", EDIT, NODES, separate_store_addresses=True
        )
        deployment.start()
        for name, (affected, faults) in CASES.items():
            keys = [deployment.grant_key("red") for _ in range(ROUNDS)]
            deployment.wait_for_seq(keys[-1].seq)
            set_faults(deployment, affected, faults)
            time.sleep(WAIT_AFTER_FAULTS_S)
            times_ms = [measure_withdrawal_ms(deployment, key) for key in keys]
            set_faults(deployment, range(NODES), Faults())
            time.sleep(WAIT_AFTER_FAULTS_S)
            note = f" MISSED target {TARGET_MS:g}" if max(times_ms) > TARGET_MS else ""
            print(f"withdrawal.{name}.max {max(times_ms):.0f} ms{note}", flush=True)


def set_faults(deployment: Deployment, nodes, faults: Faults) -> None:
    """Set the faults of the store as seen by the given nodes."""
    for i in nodes:
        address = deployment.stores[deployment.node_names[i]]
        request = HttpRequest("PUT", "/faults", encode_json(faults))
        HttpClient(Address.parse(address), 1, TIMEOUT_S).exchange(request, TIMEOUT_S)


def measure_withdrawal_ms(deployment: Deployment, key) -> float:
    """Return the time from the accepted change to the last accepted request, ms."""
    removal = Edit(removals=(Removal("team-key", key.key_id),))
    deployment.change(removal)
    started_s = time.monotonic()
    last_accepted_s = started_s
    accepting = set(deployment.node_names)
    while accepting and time.monotonic() - started_s < 2 * TARGET_MS / 1e3:
        for node in sorted(accepting):
            if accepts_key(deployment, node, key.token):
                last_accepted_s = time.monotonic()
            else:
                accepting.discard(node)
        time.sleep(POLL_S)
    return (last_accepted_s - started_s) * 1e3


def accepts_key(deployment: Deployment, node: str, token: str) -> bool:
    """Return True if a node accepts a request with a token."""
    headers = (("Authorization", f"Bearer {token}"),)
    request = HttpRequest("POST", "/run/stock/x", b"x", headers)
    client = HttpClient(Address.parse(deployment.caller_address(node)), 1, TIMEOUT_S)
    try:
        return client.exchange(request, TIMEOUT_S).status == ACCEPTED_STATUS
    finally:
        client.close()
