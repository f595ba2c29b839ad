"""One malformed message harms nothing but itself, whoever sent it.

Each decoder gets records with one part replaced by arbitrary JSON, at any depth, and
bytes that are no JSON. It returns a value or raises the error that its callers handle.
"""

import copy
import json

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhatch_core.coordination.scheduler import TaskName
from heatherhatch_core.exceptions import StoreError
from heatherhatch_daemon.pools.feed import Feed
from heatherhatch_daemon.transport.http import ExchangeError, HttpAnswer
from heatherhatch_daemon.transport.store import Entry, Snapshot
from heatherhatch_platform import bodies
from heatherhatch_platform.configuration import (
    read_configuration,
    read_wave,
    read_worker,
)
from heatherhatch_platform.jobs import read_job
from heatherhatch_platform.kv_store import KvStore
from heatherhatch_platform.machines import HttpMachines, HttpPolicy, read_machines
from heatherhatch_platform.settings import read_settings
from heatherhatch_platform.worker_bodies import (
    parse_task,
    read_report,
    read_start_result,
)
from test_platform_decoders import CONFIG, JOB, SETTINGS, WORKER

HUGE = 10**400
DEEP = 2_000  # levels of nesting; more than the interpreter's recursion limit
WAVE = {"wave": 1, "machines": ["m1"], "withinS": 20, "maximum": 2}
MACHINE = {
    "machine": "m1",
    "pool": "p",
    "state": "up",
    "zone": "z",
    "labels": ["a"],
    "capacity": {"cpu": 1000, "memMb": 5},
    "id": "i-1",
}
REPORT = {
    "born": 5,
    "clockMs": 10,
    "numRunning": [["j.0.1.2", 3, "cp", 100, 7.5]],
    "ended": [[1, "j.0.0.0", 1, "done", ""]],
}
ITEM = {"key": "k", "value": "MQ==", "revision": 3, "created": 1, "lease": 0}
EVENTS = {"events": [ITEM, {"key": "k", "revision": 4, "tombstone": True}]}
RANGE = {"items": [ITEM], "hasMore": False, "storeRevision": 9}

junk = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 1e308, -1, "", "\x00", "ä" * 40, "-1", "1e9"])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=5,
)


def places(record, path=()):
    """Yield the path of each part of a record."""
    yield path
    parts = []
    if isinstance(record, dict):
        parts = record.items()
    elif isinstance(record, list):
        parts = enumerate(record)
    for key, value in parts:
        yield from places(value, (*path, key))


def replaced(record, path, value):
    if not path:
        return value
    changed = copy.deepcopy(record)
    part = changed
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    return changed


def corrupted(record):
    """Return a strategy for a record with one part replaced by arbitrary JSON."""
    return st.tuples(st.sampled_from(sorted(places(record), key=repr)), junk).map(
        lambda change: replaced(record, *change)
    )


def encoded(record):
    return corrupted(record).map(lambda value: json.dumps(value).encode()) | st.binary(
        max_size=30
    )


@given(encoded(CONFIG))
def test_any_configuration_is_decoded_or_refused(data):
    read_configuration(data)


@given(encoded(WAVE))
def test_any_wave_is_decoded_or_refused(data):
    read_wave(data)


@given(encoded(WORKER))
def test_any_worker_entry_is_decoded_or_refused(data):
    read_worker("i-1", data)


@given(encoded(JOB))
def test_any_job_is_decoded_or_refused(data):
    try:
        read_job(data)
    except bodies.BodyError:
        return


@given(encoded(SETTINGS))
def test_any_settings_are_decoded_or_refused(data):
    try:
        read_settings(data)
    except ValueError:
        return


@given(corrupted(REPORT).filter(lambda body: isinstance(body, dict)))
def test_any_report_is_decoded_or_refused(body):
    try:
        read_report(body)
    except ExchangeError:
        return


@given(st.lists(corrupted(MACHINE), max_size=3))
def test_a_good_machine_is_found_among_any_others(rows):
    found = read_machines([*rows, MACHINE])
    assert found[-1].name == "m1"


@given(junk)
def test_any_task_name_is_parsed_or_refused(text):
    try:
        assert isinstance(parse_task(text), TaskName)
    except bodies.BodyError:
        return


@given(st.integers(100, 599), st.binary(max_size=30))
def test_any_answer_to_a_start_has_a_result(status, body):
    read_start_result(HttpAnswer(status, (), body))


class AnsweringClient:
    """An HTTP client whose peer gives one fixed answer."""

    def __init__(self, body):
        self.body = body

    def exchange(self, *_call, **_options):
        return HttpAnswer(200, (), self.body)


def with_answer(client, value):
    client.client = AnsweringClient(json.dumps(value).encode())
    return client


ADDRESS = read_settings(json.dumps(SETTINGS).encode()).store


@given(corrupted(RANGE))
def test_any_answer_of_the_store_to_a_read_is_decoded_or_an_error(value):
    store = with_answer(KvStore(ADDRESS), value)
    for call in (lambda: store.range("p"), lambda: store.get("k")):
        try:
            call()
        except StoreError:
            continue


def test_pages_that_do_not_go_on_are_an_error():
    store = with_answer(KvStore(ADDRESS), {**RANGE, "hasMore": True})
    with pytest.raises(StoreError):
        store.range("p")


@given(corrupted({**EVENTS, "storeRevision": 9}))
def test_any_answer_of_the_store_to_a_poll_is_decoded_or_an_error(value):
    try:
        with_answer(KvStore(ADDRESS), value).poll("p", 1, 0.0)
    except StoreError:
        return


@given(corrupted({"machines": [MACHINE], "nextToken": None}))
def test_any_list_of_machines_is_decoded_or_an_error(value):
    with gevent.Timeout(5):
        try:
            with_answer(HttpMachines(ADDRESS), value).machines()
        except ExchangeError:
            return


@given(corrupted({"good": [["i-1", "t"]], "validityMs": 100}))
def test_any_answer_of_the_policy_service_is_decoded_or_an_error(value):
    try:
        with_answer(HttpPolicy(ADDRESS), value).request_permits("s", ["i-1"], 1.0)
    except ExchangeError:
        return


@pytest.mark.parametrize(
    "data",
    [
        b"[" * DEEP,
        b'{"a":' * DEEP,
        b'{"steps": ' + b"[" * DEEP + b"]" * DEEP + b"}",
        b'{"version": 1' + b"0" * 5000 + b"}",
        b"\xff\xfe",
        b'{"spec": "\\ud800", "steps": [{}]}',
    ],
)
def test_no_decoder_is_harmed_by_depth_digits_or_bytes(data):
    assert read_configuration(data) is None
    assert read_wave(data) is None
    assert read_worker("i-1", data) is None
    for decode in (read_job, read_settings):
        with pytest.raises(ValueError):
            decode(data)


def test_an_entry_that_its_handler_cannot_take_does_not_hold_up_the_next():
    entries = (Entry("p/a", b"?", 1), Entry("p/b", b"1", 2))
    taken = []

    def take(entry):
        if entry.value == b"?":
            raise TypeError("unusable")
        taken.append(entry.key)

    feed = Feed(None, "p/", take, print, read_all=lambda: Snapshot(2, entries))
    feed.read()
    assert taken == ["p/b"]
