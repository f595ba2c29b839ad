"""Graceful shutdown under load, with a balancer that does not know of it."""

import time

import gevent
import pytest

from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import HttpClient, HttpRequest
from heatherhatch_standins.deployment import Deployment

CALLERS = 12
LOAD_S = 3.0


@pytest.fixture(scope="module")
def nodes(module_trial, keyed_edit):
    deployment = Deployment(module_trial, "stop", keyed_edit, nodes=3, work_s=0.02)
    deployment.start()
    return deployment


def test_shutdown_interrupts_no_request_under_load(nodes):
    key = nodes.grant_key("red")
    nodes.wait_for_seq(key.seq)
    headers = (("Authorization", f"Bearer {key.token}"),)
    answers = []
    end = time.monotonic() + LOAD_S

    def caller(i):
        # Half of the callers keep their connections, half open new ones.
        client = HttpClient(Address.parse(nodes.balancer), 1, 5.0)
        while time.monotonic() < end:
            body = f"{i}-{len(answers)}".encode()
            request = HttpRequest("POST", "/run/stock/x", body, headers)
            answer = client.exchange(request, 5.0)
            answers.append((answer.status, answer.body == body))
            if i % 2:
                client = HttpClient(Address.parse(nodes.balancer), 1, 5.0)

    callers = [gevent.spawn(caller, i) for i in range(CALLERS)]
    gevent.sleep(LOAD_S / 3)
    ended = gevent.get_hub().threadpool.spawn(nodes.trial.end, nodes.node_names[1])
    gevent.joinall(callers, raise_error=True)
    assert set(answers) == {(200, True)}
    assert ended.get() == 0
