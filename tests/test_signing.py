"""Signatures on calls between nodes and protection against replays."""

import pytest

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_daemon.protocol.signing import REPLAY_WINDOW_CALLS, Signer


@pytest.fixture
def signers():
    return Signer("secret", lambda: "a1"), Signer("secret", lambda: "b1")


def is_refused(check, *arguments):
    with pytest.raises(HeatherhatchError) as caught:
        check(*arguments)
    return caught.value.kind is ErrorKind.UNAUTHENTICATED


def test_signing_accepts_a_call_once(signers):
    caller, responder = signers
    call, ((_, header),) = caller.sign_call("b1", "/p", b"body")
    assert responder.check_call(header, "/p", b"body") == call
    assert is_refused(responder.check_call, header, "/p", b"body")


@pytest.mark.parametrize("part", ["path", "body", "target", "secret", "number"])
def test_signing_refuses_a_changed_call(signers, part):
    caller, responder = signers
    if part == "secret":
        caller = Signer("other", lambda: "a1")
    target = "b0" if part == "target" else "b1"
    _, ((_, header),) = caller.sign_call(target, "/p", b"body")
    if part == "number":
        header = header.replace(":1:", ":2:")
    path = "/q" if part == "path" else "/p"
    body = b"bodY" if part == "body" else b"body"
    assert is_refused(responder.check_call, header, path, body)


@pytest.mark.parametrize("header", ["", "a", "a:b:1", "a:b:x:y", "\xff:b:1:\xff"])
def test_signing_refuses_malformed_headers(signers, header):
    assert is_refused(signers[1].check_call, header, "/p", b"")


def test_signing_binds_the_answer_to_its_call(signers):
    caller, responder = signers
    first, _ = caller.sign_call("b1", "/p", b"")
    second, _ = caller.sign_call("b1", "/p", b"")
    proof = responder.sign_answer(first, b"answer")
    caller.check_answer(first, proof, b"answer")
    assert is_refused(caller.check_answer, second, proof, b"answer")
    assert is_refused(caller.check_answer, first, proof, b"other")


def test_signing_refuses_numbers_outside_the_replay_window(signers):
    caller, responder = signers
    _, ((_, old_header),) = caller.sign_call("b1", "/p", b"")
    for _ in range(3 * REPLAY_WINDOW_CALLS):
        _, ((_, header),) = caller.sign_call("b1", "/p", b"")
        responder.check_call(header, "/p", b"")
    assert is_refused(responder.check_call, old_header, "/p", b"")
    assert len(responder.windows["a1"].used_numbers) <= 2 * REPLAY_WINDOW_CALLS + 1
