"""A team's limit, enforced by real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

from callers import call
from heatherhatch_core.codec import decode_json
from heatherhatch_standins.ledger import LedgerPage

LIMIT = 14
CALLERS = 24
TIMEOUT_S = 12.0
HEADERS = {"X-Trial-Team": "red", "X-Work-Seconds": "0.3"}


def test_limits_path_one_node_reaches_but_does_not_exceed_the_limit(seven_nodes):
    key = seven_nodes.grant_key("red")
    seven_nodes.wait_for_seq(key.seq)
    address = seven_nodes.caller_address(seven_nodes.node_names[3])
    backend = seven_nodes.backends["w1"]
    deadline = time.monotonic() + TIMEOUT_S

    def peak():
        page = decode_json(call(backend, "GET", "/ledger").body, LedgerPage)
        return page.peaks.get("red", 0)

    def send_until_limit():
        statuses = set()
        while time.monotonic() < deadline and peak() < LIMIT:
            for _ in range(5):
                reply = call(address, "POST", "/run/stock/x", key.token, b"x", HEADERS)
                statuses.add(reply.status)
        return statuses

    with ThreadPoolExecutor(CALLERS) as callers:
        futures = [callers.submit(send_until_limit) for _ in range(CALLERS)]
        statuses = set().union(*(future.result() for future in futures))

    assert peak() == LIMIT
    # Requests that got no free capacity in time were refused as not run.
    assert statuses <= {200, 429, 503}
