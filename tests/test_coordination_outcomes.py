"""Outcomes of keyed requests: tickets, callers' keys and the memory."""

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


def kind_of(function, *arguments):
    with pytest.raises(HeatherhatchError) as caught:
        function(*arguments)
    return caught.value.kind


def test_ticket_is_read_back_as_written():
    assert read_ticket(write_ticket(TICKET, "s"), "s") == TICKET


@given(st.integers(0, 200), st.integers(1, 255))
def test_ticket_with_any_changed_byte_is_refused(place, change):
    text = write_ticket(TICKET, "s")
    place = 5 + place % (len(text) - 5)
    changed = chr(32 + (ord(text[place]) - 32 + change) % 95)
    forged = text[:place] + changed + text[place + 1 :]
    if forged == text:
        return
    try:
        # The last letter carries spare bits, so that two texts may be one ticket.
        assert read_ticket(forged, "s") == TICKET
    except HeatherhatchError as error:
        assert error.kind is ErrorKind.BAD_REQUEST


def test_ticket_of_another_system_is_refused():
    text = write_ticket(TICKET, "other")
    assert kind_of(read_ticket, text, "s") is ErrorKind.BAD_REQUEST


@given(st.text("abcxyzABC019-_=. ", max_size=60))
def test_ticket_text_of_any_kind_is_read_or_refused(text):
    assert kind_of(read_ticket, "hht1." + text, "s") is ErrorKind.BAD_REQUEST


def test_caller_key_carries_its_time():
    key = new_uuid7(1000.25)
    assert key_time_s(key) == 1000.25
    assert seconds_left(key, 1010.25, 60.0) == 50.0


@pytest.mark.parametrize("key", ["", "x", str(uuid.UUID(int=4)), "ABC" * 12])
def test_caller_key_of_another_form_is_refused(key):
    assert kind_of(key_time_s, key) is ErrorKind.BAD_REQUEST


def test_caller_key_is_refused_when_old_or_from_the_future():
    key = new_uuid7(1000.0)
    assert kind_of(seconds_left, key, 1060.0, 60.0) is ErrorKind.KEY_EXPIRED
    early = 1000.0 - CLOCK_SKEW_S - 1
    assert kind_of(seconds_left, key, early, 60.0) is ErrorKind.BAD_REQUEST


def test_caller_key_claim_outlasts_the_key_on_a_clock_that_is_behind():
    assert claim_lease_s(60.0) >= 60.0 + 2 * CLOCK_SKEW_S


def test_outcomes_refuse_new_work_when_full_and_forget_nothing():
    book = OutcomeTable(2 * RECORD_BYTES)
    assert book.begin(KEY, b"f", 10.0, 0.0) is Step.RUN
    book.finish(KEY, Outcome(200, body=b"x" * RECORD_BYTES))
    other = RequestKey("red", "other")
    assert kind_of(book.begin, other, b"f", 20.0, 1.0) is ErrorKind.OUTCOMES_FULL
    assert book.begin(KEY, b"f", 10.0, 1.0) is Step.REPLAY
    assert book.begin(other, b"f", 20.0, 10.0) is Step.RUN


def test_outcomes_keep_a_request_that_outlasts_its_key():
    book = OutcomeTable(10 * RECORD_BYTES)
    book.begin(KEY, b"f", 10.0, 0.0)
    assert kind_of(book.begin, KEY, b"f", 10.0, 11.0) is ErrorKind.KEY_EXPIRED
    book.finish(KEY, Outcome(200))
    book.expire(100.0)
    assert (book.records, book.used_bytes) == ({}, 0)


def test_outcomes_of_refused_requests_take_no_memory():
    book = OutcomeTable(10 * RECORD_BYTES)
    book.begin(KEY, b"f", 10.0, 0.0)
    for i in range(5_000):
        key = RequestKey("red", str(i))
        book.begin(key, b"f", 600.0, 0.0)
        book.withdraw(key)
    assert len(book.expiries) < 1_100
    book.finish(KEY, Outcome(200))
    book.expire(10.0)
    assert (book.records, book.used_bytes) == ({}, 0)


class OutcomeMachine(RuleBasedStateMachine):
    """Resends of any age at any moment, against the list of executions."""

    keys = Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.book = OutcomeTable(6 * RECORD_BYTES)
        self.executed = {}
        self.running = set()
        self.first = {}
        self.made = 0

    @rule(target=keys, life=st.sampled_from([1.0, 5.0, 20.0]))
    def make_key(self, life):
        self.made += 1
        return RequestKey("red", str(self.made)), self.now + life

    @rule(key=keys, body=st.sampled_from([b"one", b"two"]))
    def send(self, key, body):
        name, expires = key
        try:
            step = self.book.begin(name, body, expires, self.now)
        except HeatherhatchError as error:
            if error.kind is ErrorKind.OUTCOMES_FULL:
                assert name not in self.book.records
            elif error.kind is ErrorKind.KEY_EXPIRED:
                assert self.now >= expires
            else:
                assert error.kind is ErrorKind.KEY_REUSED
                assert self.book.records[name].fingerprint != body
            return
        assert self.now < expires
        if step is Step.RUN:
            assert name not in self.running
            self.running.add(name)
            self.executed.setdefault(name, 0)
        elif step is Step.JOIN:
            assert name in self.running
        else:
            assert self.book.outcome_of(name) == self.first[name]

    @rule(key=keys, size=st.integers(0, 2000))
    def answer(self, key, size):
        name, _ = key
        if name in self.running:
            self.running.remove(name)
            self.executed[name] += 1
            self.first[name] = Outcome(200, body=b"x" * size)
            self.book.finish(name, self.first[name])

    @rule(key=keys)
    def lose_answer(self, key):
        name, _ = key
        if name in self.running:
            self.running.remove(name)
            self.executed[name] += 1
            self.first[name] = Outcome(error=ErrorKind.BACKEND_TIMEOUT)
            self.book.finish(name, self.first[name])

    @rule(key=keys)
    def refuse(self, key):
        name, _ = key
        if name in self.running:
            self.running.remove(name)
            self.book.withdraw(name)

    @rule(seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def pause(self, seconds):
        self.now += seconds

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.executed.values())

    @invariant()
    def remembers_what_may_come_again(self):
        for name in self.running:
            assert name in self.book.records

    @invariant()
    def counts_its_bytes(self):
        used = sum(
            record.outcome.size_bytes if record.outcome else RECORD_BYTES
            for record in self.book.records.values()
        )
        assert used == self.book.used_bytes


TestOutcomeMachine = OutcomeMachine.TestCase
