"""Malformed input to the listeners, the settings parser and the decoders."""

import socket

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from callers import call
from heatherhatch_core.codec import decode_json, decode_msgpack
from heatherhatch_core.exceptions import HeatherhatchError, SettingsError
from heatherhatch_core.state.changes import Change, Edit
from heatherhatch_daemon.protocol.messages import Heartbeat
from heatherhatch_daemon.settings_file import parse_settings
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.processes import FIRST_TOKEN

TIMEOUT_S = 5.0

paths = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40)
methods = st.sampled_from(("GET", "POST", "PUT", "DELETE", "HEAD", "BREW"))
api_paths = st.sampled_from(
    (
        "/v1/changes",
        "/v1/config",
        "/v1/status",
        "/v1/audit",
        "/v1/plan",
        "/v1/jobs",
        "/v1/in-force?seq=x",
        "/jobs",
        "/tickets?count=-1",
        "/run/stock/%2e%2e",
        "/run/none/x",
        "/run/settle",
        "/peer/heartbeat",
    )
)


@pytest.fixture(scope="module")
def deployment(module_trial, module_small_edit):
    started = Deployment(module_trial, "hostile", module_small_edit, nodes=1)
    started.start()
    return started


def listener_addresses(deployment):
    name = deployment.node_names[0]
    return [f"127.0.0.1:{port}" for port in deployment.ports[name]]


def assert_serves_requests(deployment):
    key = deployment.grant_key("red")
    deployment.wait_for_seq(key.seq)
    address = deployment.caller_address(deployment.node_names[0])
    reply = call(address, "POST", "/run/stock/x", key.token, b"fine")
    assert (reply.status, reply.body) == (200, b"fine")


@settings(max_examples=120, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    listener=st.integers(0, 2),
    method=methods,
    path=st.one_of(api_paths, paths.map(lambda text: "/" + text.replace("#", ""))),
    body=st.binary(max_size=200),
    with_key=st.booleans(),
)
def test_hostile_requests_get_a_structured_error(
    deployment, listener, method, path, body, with_key
):
    address = listener_addresses(deployment)[listener]
    token = FIRST_TOKEN if with_key else ""
    reply = call(address, method, path, token, body, timeout_s=TIMEOUT_S)
    assert reply.status < 500 or reply.json()["execution"] == "not run"
    if reply.status >= 400 and method != "HEAD":
        assert reply.json()["type"].startswith("urn:heatherhatch:error:")


@settings(max_examples=60, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(listener=st.integers(0, 2), data=st.binary(min_size=1, max_size=300))
def test_hostile_bytes_are_answered_or_dropped(deployment, listener, data):
    host, port = listener_addresses(deployment)[listener].split(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        connection.sendall(data + b"\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)
        connection.recv(65_536)


def test_hostile_oversized_body_is_refused_as_not_run(deployment):
    name = deployment.node_names[0]
    token = deployment.grant_key("red").token
    reply = call(
        deployment.caller_address(name), "POST", "/run/stock/x", token, b"x" * (2 << 20)
    )
    assert reply.status == 413
    assert reply.json()["execution"] == "not run"


def test_hostile_incomplete_requests_do_not_block_others(deployment):
    sockets = []
    for address in listener_addresses(deployment):
        host, port = address.split(":")
        for _ in range(50):
            sockets.append(socket.create_connection((host, int(port)), TIMEOUT_S))
            sockets[-1].sendall(b"POST /run/stock/x HTTP/1.1\r\nContent-Length: 9\r\n")
    assert_serves_requests(deployment)
    for item in sockets:
        item.close()


def test_hostile_input_leaves_the_node_serving(deployment):
    assert deployment.trial.processes[deployment.node_names[0]].poll() is None
    assert_serves_requests(deployment)


@given(st.binary(max_size=300))
def test_hostile_messages_raise_bad_request(data):
    for decode, kind in (
        (decode_json, Edit),
        (decode_json, Change),
        (decode_msgpack, Heartbeat),
    ):
        try:
            decode(data, kind)
        except HeatherhatchError as error:
            assert error.answer.status == 400


@given(st.text(max_size=200))
def test_hostile_settings_are_refused(text):
    with pytest.raises(SettingsError):
        parse_settings(text)
