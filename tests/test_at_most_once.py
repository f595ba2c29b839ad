"""Keyed requests that are sent again through other nodes, with real daemons."""

from collections import Counter

import gevent
import pytest

from callers import call
from heatherhatch_core.codec import encode_json
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.load import new_uuid7

pytestmark = pytest.mark.usefixtures("nodes")


@pytest.fixture(scope="module")
def nodes(module_trial, keyed_edit):
    deployment = Deployment(module_trial, "once", keyed_edit, nodes=3)
    deployment.start()
    return deployment


@pytest.fixture(scope="module")
def token(nodes):
    key = nodes.grant_key("red")
    nodes.wait_for_seq(key.seq)
    return key.token


def ticket_from(nodes, node, token):
    address = nodes.callers(node)
    return call(address, "POST", "/tickets", token).json()["tickets"][0]


def settle(nodes, node, token, key, name, body=b"coins", work_s=0.0):
    headers = {
        "Idempotency-Key": key,
        "X-Request-Id": name,
        "X-Work-Seconds": str(work_s),
    }
    return call(nodes.callers(node), "POST", "/run/settle", token, body, headers)


def executed(nodes, name):
    counts = Counter()
    for address in nodes.backends.values():
        counts.update(call(address, "GET", "/executed").json())
    return counts[name]


def key_of(kind, nodes, token, node):
    return ticket_from(nodes, node, token) if kind == "ticket" else new_uuid7()


@pytest.fixture(params=["ticket", "caller"])
def kind(request):
    return request.param


def test_once_needs_a_key_for_work_that_is_not_idempotent(nodes, token):
    first = nodes.node_names[0]
    reply = settle(nodes, first, token, "", "keyless")
    assert (reply.status, reply.json()["execution"]) == (400, "not run")
    reply = settle(nodes, first, token, "chosen", "keyless")
    assert (reply.status, reply.json()["execution"]) == (400, "not run")
    assert executed(nodes, "keyless") == 0


def test_once_joins_and_replays_through_every_node(nodes, token, kind):
    key = key_of(kind, nodes, token, nodes.node_names[0])
    name = f"join-{kind}"
    sends = [
        gevent.get_hub().threadpool.spawn(
            settle, nodes, node, token, key, name, work_s=0.2
        )
        for node in nodes.node_names * 2
    ]
    replies = [send.get() for send in sends]
    replies += [settle(nodes, node, token, key, name) for node in nodes.node_names]
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"coins")}
    assert len({reply.headers["x-backend"] for reply in replies}) == 1
    assert executed(nodes, name) == 1


def test_once_refuses_a_key_that_comes_with_another_request(nodes, token, kind):
    key = key_of(kind, nodes, token, nodes.node_names[0])
    name = f"reuse-{kind}"
    assert settle(nodes, nodes.node_names[0], token, key, name).status == 200
    for node in nodes.node_names:
        reply = settle(nodes, node, token, key, name, b"other")
        assert (reply.status, reply.json()["code"]) == (422, 303)
    blue = nodes.grant_key("blue")
    nodes.wait_for_seq(blue.seq)
    if kind == "ticket":
        assert settle(nodes, nodes.node_names[1], blue.token, key, name).status == 422
    assert executed(nodes, name) == 1


def test_once_takes_tickets_and_refuses_own_keys_without_the_store(nodes, token):
    first, second = nodes.node_names[:2]
    ticket = ticket_from(nodes, first, token)
    call(nodes.store, "PUT", "/faults", body=encode_json(Faults(down=True)))
    reply = settle(nodes, second, token, ticket, "outage")
    refusal = settle(nodes, second, token, new_uuid7(), "refused")
    call(nodes.store, "PUT", "/faults", body=encode_json(Faults()))
    assert reply.status == 200
    # This node can't know of attempts through others, so it must not say more.
    assert (refusal.status, refusal.json()["execution"]) == (503, "outcome unknown")
    assert "ticket" in refusal.json()["detail"]
    assert (executed(nodes, "outage"), executed(nodes, "refused")) == (1, 0)


def test_once_says_unknown_after_the_death_of_the_node(nodes, token):
    victim, other = nodes.node_names[2], nodes.node_names[0]
    keys = {kind: key_of(kind, nodes, token, victim) for kind in ("ticket", "caller")}
    for kind, key in keys.items():
        assert settle(nodes, victim, token, key, f"death-{kind}").status == 200
    nodes.trial.kill(victim)
    for kind, key in keys.items():
        reply = settle(nodes, other, token, key, f"death-{kind}")
        assert (reply.status, reply.json()["execution"]) == (409, "outcome unknown")
    nodes.start_node(victim)
    nodes.wait_for_seq(1)
    for kind, key in keys.items():
        for node in (victim, other):
            reply = settle(nodes, node, token, key, f"death-{kind}")
            assert reply.json()["execution"] == "outcome unknown"
        assert executed(nodes, f"death-{kind}") == 1
