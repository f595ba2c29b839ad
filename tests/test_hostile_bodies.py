"""Bodies far over the limit, announced or just sent, to a process with little memory.

Each test runs alone (``make test``) and checks only what does not depend on the speed
of the machine.
"""

import random

import gevent
import pytest

from heatherhatch_platform_standin.deployment import Deployment
from heatherhatch_platform_standin.load import Callers
from hostile_crowd import (
    HANG_S,
    PIECE,
    Crowd,
    chunk,
    open_descriptors,
    peak_memory_mib,
    request,
    without_end,
)

pytestmark = pytest.mark.alone

MEMORY_MB = 96
BODY_BYTES = 262_144
HOLDERS = 300
SENDERS = 20
OTHER_DESCRIPTORS = 40  # connections to the store and to workers
JOB = "/till/00000000000000ff"
CHUNKED = "Transfer-Encoding: chunked\r\n"
HUGE = "Content-Length: 10000000000\r\n"

HELD = {
    "over the limit": request(
        "POST", JOB, "Content-Length: 1048576\r\n", [*[PIECE] * 15, PIECE[:-1]]
    ),
    "chunks over the limit": request("POST", JOB, CHUNKED, [chunk(PIECE)] * 16),
    "within the limit": request(
        "POST", JOB, f"Content-Length: {BODY_BYTES}\r\n", [*[PIECE] * 3, PIECE[:-1]]
    ),
}
SMALL_CHUNKS = request("POST", JOB, CHUNKED, [chunk(b"xx") * 1_000] * 90)
HEADERS = "".join(f"X-{number}: {'a' * 160}\r\n" for number in range(90))
LONG_HEADS = 1_000
LONG_HEAD = request("POST", JOB, f"{HEADERS}Content-Length: 20\r\n", [b"x" * 10])
ENDLESS = {
    "announced": request("POST", JOB, HUGE, without_end(PIECE)),
    "chunks": request("POST", JOB, CHUNKED, without_end(chunk(PIECE))),
    "trailers": request("POST", JOB, CHUNKED, [b"0\r\n", *[b"a: b\r\n" * 10_000] * 64]),
    "read": request("GET", JOB, HUGE, without_end(PIECE)),
    "cancellation": request("DELETE", JOB, CHUNKED, without_end(chunk(PIECE))),
}


@pytest.fixture
def deployment():
    limits = {"memoryMb": MEMORY_MB}
    with Deployment(1, limits, {"bodyBytes": BODY_BYTES}) as running:
        yield running


@pytest.fixture
def instance(deployment):
    return deployment.instances[0]


@pytest.fixture
def callers(deployment):
    running = Callers(deployment, random.Random(1))
    with gevent.Timeout(HANG_S):
        running.wait_until_ready()
        while running.submit() is None:
            gevent.sleep(0.1)
    return running


def assert_serves(deployment, callers, size):
    """Check that the process lives within its bounds and serves a caller."""
    (instance,) = deployment.instances
    assert instance.process.poll() is None
    process_id = instance.process.pid
    assert peak_memory_mib(process_id) <= MEMORY_MB
    assert open_descriptors(process_id) <= size + OTHER_DESCRIPTORS
    job_id = callers.submit()
    assert job_id is not None
    assert callers.state(job_id) != ""
    deployment.stop_instances()
    assert deployment.ledger.violations == []


# Guards against bodies that are held until the process runs out of memory.
@pytest.mark.parametrize("sent", HELD.values(), ids=HELD)
def test_bodies_that_are_held_do_not_fill_the_memory(
    deployment, instance, callers, sent
):
    crowd = Crowd(instance.entry, HOLDERS, sent)
    try:
        crowd.wait_until_read()
        assert_serves(deployment, callers, HOLDERS)
    finally:
        crowd.close()


# Guards against a body that takes many times its size in memory.
def test_small_chunks_that_are_held_do_not_fill_the_memory(
    deployment, instance, callers
):
    crowd = Crowd(instance.entry, SENDERS, SMALL_CHUNKS)
    try:
        crowd.wait_until_read()
        assert_serves(deployment, callers, SENDERS)
    finally:
        crowd.close()


# Guards against heads whose headers take many times their size while a body is awaited.
def test_long_heads_whose_bodies_are_held_do_not_fill_the_memory(
    deployment, instance, callers
):
    crowd = Crowd(instance.entry, LONG_HEADS, LONG_HEAD)
    try:
        crowd.wait_until_read()
        assert_serves(deployment, callers, LONG_HEADS)
    finally:
        crowd.close()


# Guards against a process that reads a refused body to its end, which never comes.
@pytest.mark.parametrize("sent", ENDLESS.values(), ids=ENDLESS)
def test_bodies_without_an_end_are_cut_off(deployment, instance, callers, sent):
    crowd = Crowd(instance.entry, SENDERS, sent)
    try:
        crowd.wait_until_read()
        assert crowd.closed == SENDERS
        assert_serves(deployment, callers, SENDERS)
    finally:
        crowd.close()


def test_bodies_without_an_end_are_cut_off_at_the_readiness_check(
    deployment, instance, callers
):
    sent = request("GET", "/ready", HUGE, without_end(PIECE))
    crowd = Crowd(instance.ready, SENDERS, sent)
    try:
        crowd.wait_until_read()
        assert crowd.closed == SENDERS
        assert_serves(deployment, callers, SENDERS)
    finally:
        crowd.close()
