"""Time from accepting a key's withdrawal until every node refuses the key."""

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
SETTLE_S = 2.0
POLL_S = 0.01
TARGET_MS = 3_000.0
ACCEPTED = 200
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
    """Print the longest time of some withdrawals in each case."""
    with Trial() as trial:
        deployment = Deployment(trial, "withdrawal", EDIT, NODES, doors=True)
        deployment.start()
        for name, (cut, faults) in CASES.items():
            keys = [deployment.grant_key("red") for _ in range(ROUNDS)]
            deployment.wait_for_seq(keys[-1].seq)
            set_faults(deployment, cut, faults)
            time.sleep(SETTLE_S)
            times = [withdraw_ms(deployment, key) for key in keys]
            set_faults(deployment, range(NODES), Faults())
            time.sleep(SETTLE_S)
            verdict = f" MISSED target {TARGET_MS:g}" if max(times) > TARGET_MS else ""
            print(f"withdrawal.{name}.max {max(times):.0f} ms{verdict}", flush=True)


def set_faults(deployment: Deployment, nodes, faults: Faults) -> None:
    """Set the faults of the store for some nodes."""
    for i in nodes:
        address = deployment.stores[deployment.node_names[i]]
        request = HttpRequest("PUT", "/faults", encode_json(faults))
        HttpClient(Address.parse(address), 1, TIMEOUT_S).exchange(request, TIMEOUT_S)


def withdraw_ms(deployment: Deployment, key) -> float:
    """Return the time from the acceptance to the last work that was done, ms."""
    removal = Edit(removals=(Removal("team-key", key.key_id),))
    deployment.change(removal)
    begun = time.monotonic()
    last = begun
    waiting = set(deployment.node_names)
    while waiting and time.monotonic() - begun < 2 * TARGET_MS / 1e3:
        for node in sorted(waiting):
            if accepts(deployment, node, key.token):
                last = time.monotonic()
            else:
                waiting.discard(node)
        time.sleep(POLL_S)
    return (last - begun) * 1e3


def accepts(deployment: Deployment, node: str, token: str) -> bool:
    """Tell whether a node does work for a token."""
    headers = (("Authorization", f"Bearer {token}"),)
    request = HttpRequest("POST", "/run/stock/x", b"x", headers)
    client = HttpClient(Address.parse(deployment.callers(node)), 1, TIMEOUT_S)
    try:
        return client.exchange(request, TIMEOUT_S).status == ACCEPTED
    finally:
        client.close()
