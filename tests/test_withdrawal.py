"""Withdrawn keys and callers' requests under faults, with real daemons.

The tests guard against a node that accepts a key after its withdrawal is in force, and
against an outage of the store that stops the requests of valid keys.
"""

import time

import pytest

from callers import call
from heatherhatch_core.api import InForce
from heatherhatch_core.codec import encode_json
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.processes import Trial

NODES = 3
TIMEOUT_S = 20.0
POLL_S = 0.1
STANDING_S = 2.0


@pytest.fixture
def nodes(small_edit):
    with Trial() as trial:
        deployment = Deployment(
            trial, "withdraw", small_edit, NODES, separate_store_addresses=True
        )
        deployment.start()
        yield deployment


def set_store(nodes, names, **faults):
    for name in names:
        body = encode_json(Faults(**faults))
        call(nodes.stores[name], "PUT", "/faults", body=body)


def send(nodes, node, token):
    return call(nodes.caller_address(node), "POST", "/run/stock/x", token, b"x")


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (HeatherhatchError, OSError):
            # The node does not answer yet.
            pass
        time.sleep(POLL_S)
    raise AssertionError("the condition did not hold in time")


def withdraw(nodes, key, node):
    """Withdraw a key and wait until its withdrawal is in force everywhere."""
    removal = Edit(removals=(Removal("team-key", key.key_id),))
    seq = nodes.change(removal, node)
    path = f"/v1/in-force?seq={seq}"
    wait_until(lambda: not nodes.client(node).get(path, InForce).missing)


def refused(reply):
    return reply.status in (401, 503) and reply.json()["execution"] == "not run"


def test_withdrawal_reaches_a_node_without_the_store_and_a_paused_one(nodes):
    first, cut, paused = nodes.node_names
    key = nodes.grant_key("red", first)
    nodes.wait_for_seq(key.seq)
    set_store(nodes, [cut], down=True)
    time.sleep(STANDING_S)
    wait_until(lambda: send(nodes, cut, key.token).status == 200)

    nodes.trial.pause(paused)
    withdraw(nodes, key, first)
    assert refused(send(nodes, first, key.token))
    assert refused(send(nodes, cut, key.token))
    nodes.trial.resume(paused)
    assert refused(send(nodes, paused, key.token))
    wait_until(lambda: send(nodes, paused, key.token).status == 401)
    assert send(nodes, cut, key.token).status == 401


def test_withdrawal_waits_for_the_store_while_requests_continue(nodes):
    names = nodes.node_names
    key = nodes.grant_key("red")
    nodes.wait_for_seq(key.seq)
    set_store(nodes, names, down=True)
    time.sleep(1.5 * STANDING_S)
    for name in names:
        wait_until(lambda name=name: send(nodes, name, key.token).status == 200)
    with pytest.raises(HeatherhatchError):
        withdraw(nodes, key, names[0])

    nodes.trial.kill(names[2])
    nodes.start_node(names[2])
    wait_until(lambda: send(nodes, names[2], key.token).status == 503)
    time.sleep(STANDING_S)
    assert refused(send(nodes, names[2], key.token)), (
        "the node started during the outage"
    )

    set_store(nodes, names)
    for name in names:
        wait_until(lambda name=name: send(nodes, name, key.token).status == 200)
    withdraw(nodes, key, names[1])
    for name in names:
        assert refused(send(nodes, name, key.token))


def test_withdrawal_succeeds_with_a_slow_store_that_loses_answers(nodes):
    names = nodes.node_names
    key = nodes.grant_key("red")
    nodes.wait_for_seq(key.seq)
    set_store(nodes, names, delay_s=0.1, lost_share=0.3)
    withdraw(nodes, key, names[1])
    for name in names:
        assert refused(send(nodes, name, key.token))
