"""Outcomes of keyed requests: tickets, callers' keys and the outcome table."""

import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from heatherhatch_core.coordination.caller_keys import (
    CLOCK_SKEW_S,
    claim_lease_s,
    key_time_s,
    seconds_left,
)
from heatherhatch_core.coordination.outcomes import (
    RECORD_BYTES,
    Outcome,
    OutcomeTable,
    RequestKey,
    Step,
)
from heatherhatch_core.coordination.tickets import Ticket, read_ticket, write_ticket
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_standins.load import new_uuid7

TICKET = Ticket("n1", "i1", "127.0.0.1:1", "red", "nonce", 12.5)
KEY = RequestKey("red", "k")


def error_kind(function, *arguments):
    with pytest.raises(HeatherhatchError) as caught:
        function(*arguments)
    return caught.value.kind


def test_ticket_round_trips():
    assert read_ticket(write_ticket(TICKET, "s"), "s") == TICKET


@given(st.integers(0, 200), st.integers(1, 255))
def test_ticket_with_any_changed_byte_is_refused(position, change):
    text = write_ticket(TICKET, "s")
    position = 5 + position % (len(text) - 5)
    changed = chr(32 + (ord(text[position]) - 32 + change) % 95)
    forged = text[:position] + changed + text[position + 1 :]
    if forged == text:
        return
    try:
        # The last character has unused bits, so two texts may decode to one ticket.
        assert read_ticket(forged, "s") == TICKET
    except HeatherhatchError as error:
        assert error.kind is ErrorKind.BAD_REQUEST


def test_ticket_signed_with_another_secret_is_refused():
    text = write_ticket(TICKET, "other")
    assert error_kind(read_ticket, text, "s") is ErrorKind.BAD_REQUEST


@given(st.text("abcxyzABC019-_=. ", max_size=60))
def test_ticket_text_of_any_kind_is_refused(text):
    assert error_kind(read_ticket, "hht1." + text, "s") is ErrorKind.BAD_REQUEST


def test_caller_key_contains_its_creation_time():
    key = new_uuid7(1000.25)
    assert key_time_s(key) == 1000.25
    assert seconds_left(key, 1010.25, 60.0) == 50.0


@pytest.mark.parametrize("key", ["", "x", str(uuid.UUID(int=4)), "ABC" * 12])
def test_caller_key_is_refused_when_malformed(key):
    assert error_kind(key_time_s, key) is ErrorKind.BAD_REQUEST


def test_caller_key_is_refused_when_expired_or_from_the_future():
    key = new_uuid7(1000.0)
    assert error_kind(seconds_left, key, 1060.0, 60.0) is ErrorKind.KEY_EXPIRED
    early = 1000.0 - CLOCK_SKEW_S - 1
    assert error_kind(seconds_left, key, early, 60.0) is ErrorKind.BAD_REQUEST


def test_caller_key_claim_lease_covers_clock_skew():
    assert claim_lease_s(60.0) >= 60.0 + 2 * CLOCK_SKEW_S


def test_outcomes_refuse_new_work_when_full_and_keep_records():
    table = OutcomeTable(2 * RECORD_BYTES)
    assert table.begin(KEY, b"f", 10.0, 0.0) is Step.RUN
    table.finish(KEY, Outcome(200, body=b"x" * RECORD_BYTES))
    other = RequestKey("red", "other")
    assert error_kind(table.begin, other, b"f", 20.0, 1.0) is ErrorKind.OUTCOMES_FULL
    assert table.begin(KEY, b"f", 10.0, 1.0) is Step.REPLAY
    assert table.begin(other, b"f", 20.0, 10.0) is Step.RUN


def test_outcomes_keep_a_running_request_after_its_key_expires():
    table = OutcomeTable(10 * RECORD_BYTES)
    table.begin(KEY, b"f", 10.0, 0.0)
    assert error_kind(table.begin, KEY, b"f", 10.0, 11.0) is ErrorKind.KEY_EXPIRED
    table.finish(KEY, Outcome(200))
    table.expire(100.0)
    assert (table.records, table.used_bytes) == ({}, 0)


def test_outcomes_of_refused_requests_use_no_memory():
    table = OutcomeTable(10 * RECORD_BYTES)
    table.begin(KEY, b"f", 10.0, 0.0)
    for i in range(5_000):
        key = RequestKey("red", str(i))
        table.begin(key, b"f", 600.0, 0.0)
        table.withdraw(key)
    assert len(table.expiries) < 1_100
    table.finish(KEY, Outcome(200))
    table.expire(10.0)
    assert (table.records, table.used_bytes) == ({}, 0)


class OutcomeMachine(RuleBasedStateMachine):
    """Resends of any age at any time, compared with the list of executions."""

    keys = Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = OutcomeTable(6 * RECORD_BYTES)
        self.executed = {}
        self.running = set()
        self.outcomes = {}
        self.key_count = 0

    @rule(target=keys, lifetime_s=st.sampled_from([1.0, 5.0, 20.0]))
    def make_key(self, lifetime_s):
        self.key_count += 1
        return RequestKey("red", str(self.key_count)), self.now + lifetime_s

    @rule(key=keys, body=st.sampled_from([b"one", b"two"]))
    def send(self, key, body):
        request_key, expires = key
        try:
            step = self.table.begin(request_key, body, expires, self.now)
        except HeatherhatchError as error:
            if error.kind is ErrorKind.OUTCOMES_FULL:
                assert request_key not in self.table.records
            elif error.kind is ErrorKind.KEY_EXPIRED:
                assert self.now >= expires
            else:
                assert error.kind is ErrorKind.KEY_REUSED
                assert self.table.records[request_key].fingerprint != body
            return
        assert self.now < expires
        if step is Step.RUN:
            assert request_key not in self.running
            self.running.add(request_key)
            self.executed.setdefault(request_key, 0)
        elif step is Step.JOIN:
            assert request_key in self.running
        else:
            assert self.table.outcome_of(request_key) == self.outcomes[request_key]

    @rule(key=keys, size=st.integers(0, 2000))
    def respond(self, key, size):
        request_key, _ = key
        if request_key in self.running:
            self.running.remove(request_key)
            self.executed[request_key] += 1
            self.outcomes[request_key] = Outcome(200, body=b"x" * size)
            self.table.finish(request_key, self.outcomes[request_key])

    @rule(key=keys)
    def time_out(self, key):
        request_key, _ = key
        if request_key in self.running:
            self.running.remove(request_key)
            self.executed[request_key] += 1
            self.outcomes[request_key] = Outcome(error=ErrorKind.BACKEND_TIMEOUT)
            self.table.finish(request_key, self.outcomes[request_key])

    @rule(key=keys)
    def refuse(self, key):
        request_key, _ = key
        if request_key in self.running:
            self.running.remove(request_key)
            self.table.withdraw(request_key)

    @rule(seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.executed.values())

    @invariant()
    def keeps_records_of_running_requests(self):
        for request_key in self.running:
            assert request_key in self.table.records

    @invariant()
    def counts_used_bytes(self):
        used = sum(
            record.outcome.size_bytes if record.outcome else RECORD_BYTES
            for record in self.table.records.values()
        )
        assert used == self.table.used_bytes


TestOutcomeMachine = OutcomeMachine.TestCase
