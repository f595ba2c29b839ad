"""Bodies far over the limit, sent to the listeners of heatherhatchd."""

import pytest

from callers import call
from heatherhatch_standins.deployment import Deployment
from hostile_crowd import (
    PIECE,
    Crowd,
    open_descriptors,
    peak_memory_mib,
    request,
    without_end,
)

pytestmark = pytest.mark.alone

MEMORY_MIB = 128
HOLDERS = 300
SENDERS = 20
OTHER_DESCRIPTORS = 60  # connections to the store, to peers and to backend servers
HELD = "Content-Length: 1048576\r\n"
HUGE = "Content-Length: 10000000000\r\n"
LISTENERS = ("callers", "operators", "peers")
PATHS = ("/run/stock/x", "/v1/changes", "/peer/heartbeat")


@pytest.fixture
def deployment(trial, small_edit):
    started = Deployment(trial, "hostile", small_edit, nodes=1)
    started.start()
    return started


def assert_serves(deployment, crowd_size):
    """Check that the process lives within its bounds and serves a caller."""
    (name,) = deployment.node_names
    process = deployment.trial.processes[name]
    assert process.poll() is None
    assert peak_memory_mib(process.pid) <= MEMORY_MIB
    assert open_descriptors(process.pid) <= crowd_size + OTHER_DESCRIPTORS
    key = deployment.grant_key("red")
    deployment.wait_for_seq(key.seq)
    address = deployment.caller_address(name)
    reply = call(address, "POST", "/run/stock/x", key.token, b"fine")
    assert (reply.status, reply.body) == (200, b"fine")


# Guards against bodies that are held until the process runs out of memory.
@pytest.mark.parametrize("listener", range(3), ids=LISTENERS)
def test_bodies_that_are_held_do_not_fill_the_memory_of_a_daemon(deployment, listener):
    port = deployment.ports[deployment.node_names[0]][listener]
    sent = request("POST", PATHS[listener], HELD, [*[PIECE] * 15, PIECE[:-1]])
    crowd = Crowd(f"127.0.0.1:{port}", HOLDERS, sent)
    try:
        crowd.wait_until_read()
        assert_serves(deployment, HOLDERS)
    finally:
        crowd.close()


# Guards against a process that reads a refused body to its end, which never comes.
@pytest.mark.parametrize("listener", range(3), ids=LISTENERS)
def test_bodies_without_an_end_are_cut_off_by_a_daemon(deployment, listener):
    port = deployment.ports[deployment.node_names[0]][listener]
    sent = request("POST", PATHS[listener], HUGE, without_end(PIECE))
    crowd = Crowd(f"127.0.0.1:{port}", SENDERS, sent)
    try:
        crowd.wait_until_read()
        assert crowd.closed == SENDERS
        assert_serves(deployment, SENDERS)
    finally:
        crowd.close()


# Guards against callers with large bodies that keep out the peers of a daemon.
def test_bodies_of_callers_do_not_keep_out_peers(deployment):
    callers_port, _, peers_port = deployment.ports[deployment.node_names[0]]
    small = "Content-Length: 28000\r\n"
    crowds = []
    try:
        for framing, size in ((HELD, HOLDERS), (small, 2 * HOLDERS)):
            pieces = (
                [*[PIECE] * 15, PIECE[:-1]] if framing is HELD else [PIECE[:27_999]]
            )
            sent = request("POST", PATHS[0], framing, pieces)
            crowds.append(Crowd(f"127.0.0.1:{callers_port}", size, sent))
            crowds[-1].wait_until_read()
        reply = call(f"127.0.0.1:{peers_port}", "POST", PATHS[2], "", b"x" * 20_000)
        assert reply.status == 401  # its signature is missing
    finally:
        for crowd in crowds:
            crowd.close()
