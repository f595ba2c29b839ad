"""Graceful shutdown under load, while the balancer still routes to the node.

The balancer's list of nodes lags, and clients keep idle connections open. Requests
therefore reach a node that is shutting down, and it must answer them completely.
"""

import time

import gevent
import pytest

from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest
from heatherhatch_standins.deployment import Deployment

CALLERS = 12
LOAD_DURATION_S = 3.0


@pytest.fixture(scope="module")
def deployment(module_trial, requests_only_edit):
    started = Deployment(module_trial, "stop", requests_only_edit, nodes=3, work_s=0.02)
    started.start()
    return started


def test_shutdown_interrupts_no_request_under_load(deployment):
    key = deployment.grant_key("red")
    deployment.wait_for_seq(key.seq)
    headers = (("Authorization", f"Bearer {key.token}"),)
    answers = []
    deadline = time.monotonic() + LOAD_DURATION_S

    def send_requests(i):
        # Half of the callers reuse one connection; the others open one per request.
        client = HttpClient(Address.parse(deployment.balancer), 1, 5.0)
        while time.monotonic() < deadline:
            body = f"{i}-{len(answers)}".encode()
            request = HttpRequest("POST", "/run/stock/x", body, headers)
            answer = client.exchange(request, 5.0)
            answers.append((answer.status, answer.body == body))
            if i % 2:
                client = HttpClient(Address.parse(deployment.balancer), 1, 5.0)

    callers = [gevent.spawn(send_requests, i) for i in range(CALLERS)]
    gevent.sleep(LOAD_DURATION_S / 3)
    stop_result = gevent.get_hub().threadpool.spawn(
        deployment.trial.stop_process, deployment.node_names[1]
    )
    gevent.joinall(callers, raise_error=True)
    assert set(answers) == {(200, True)}
    assert stop_result.get() == 0
