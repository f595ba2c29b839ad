"""Nothing of a job is stored after its cancellation, whatever happens to the writes.

Two teams use the same identifiers in two queues. Any write may be lost before or after
its effect, or held and delivered later, also twice.
"""

from dataclasses import replace

import pytest
from hypothesis import Phase as Phases
from hypothesis import settings
from hypothesis import stateful as machines
from hypothesis import strategies as st

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.coordination.scheduler.live import LiveJob
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.fleet_configuration import Team
from heatherhatch_core.state.work import Job, Phase, Schedule, Step
from heatherhatch_daemon.pools import job_registry, retries
from heatherhatch_daemon.pools.cancellation import Cancellations
from heatherhatch_daemon.pools.keys import cancel_key, job_key, shown_status_key
from heatherhatch_daemon.transport.store import Put, Transaction
from test_pool_intake import CONFIGS, QUEUE, IntakeHarness

KEYS = {"t": "k1", "u": "k2"}
QUEUES = (QUEUE, replace(QUEUE, name="p", prefix="/p/"))
TEAMS = tuple(Team(name, (key,)) for name, key in KEYS.items())
JOBS = ("j1", "j2")
CALLS = {
    "caller": st.tuples(
        st.sampled_from(sorted(KEYS)), st.sampled_from("qp"), st.sampled_from(JOBS)
    ),
    "fates": st.lists(st.sampled_from(["", "held", "lost", "refused"]), max_size=5),
}


class CancelMachine(machines.RuleBasedStateMachine):
    """Submits, cancels and ends jobs while writes are lost and held."""

    def __init__(self):
        super().__init__()
        harness = IntakeHarness()
        harness.configure(b"6")
        harness.operators.refresh()
        self.store, self.intake = harness.store, harness.intake
        self.cancelled = set()

    @machines.rule(**CALLS)
    def submit(self, caller, fates):
        self.answer(self.intake.submit, caller, fates, "run", (Step(),), Schedule())

    @machines.rule(**CALLS)
    def cancel(self, caller, fates):
        kind = self.answer(self.intake.cancel, caller, fates)
        if kind in (None, ErrorKind.NO_SUCH_JOB):
            self.cancelled.add(caller)

    @machines.rule(index=st.integers(0, 9), twice=st.booleans())
    def deliver(self, index, twice):
        if index < len(self.store.held):
            transaction = self.store.held.pop(index)
            for _delivery in range(1 + twice):
                self.store.transact(transaction)

    @machines.rule(job_id=st.sampled_from(JOBS))
    def end(self, job_id):
        for key, job in self.stored(job_id):
            live = LiveJob(job)
            live.phase = Phase.COMPLETED
            put = Put(shown_status_key(job_id, job), encode_json(live.status(0.0)))
            deleted = (key, cancel_key(job.pool, job_id))
            self.store.transact(Transaction((), (put,), deleted))

    @machines.invariant()
    def no_cancelled_job_may_start(self):
        for job_id in JOBS:
            for _key, job in self.stored(job_id):
                if (job.team, job.queue, job_id) in self.cancelled:
                    assert cancel_key(job.pool, job_id) in self.store.entries

    def stored(self, job_id):
        """Return the key and the record of a job, if it is stored."""
        entry = self.store.entries.get(job_key("till", job_id))
        return [(entry.key, decode_json(entry.value, Job))] if entry else []

    def answer(self, call, caller, fates, *arguments):
        """Return the kind of the error that a call raises, None if it succeeds."""
        team, queue, job_id = caller
        self.store.script = list(fates)
        try:
            call("h", f"/{queue}/{job_id}", KEYS[team], *arguments)
        except HeatherhatchError as error:
            return error.kind
        finally:
            self.store.script = []
        return None


@pytest.fixture(autouse=True)
def environment(monkeypatch):
    """Let pauses take no time, and use the configuration of the machine."""
    for module in (retries, job_registry):
        monkeypatch.setattr(module, "sleep", lambda _seconds: None)
    config = replace(CONFIGS[b"1"], version=6, queues=QUEUES, teams=TEAMS)
    monkeypatch.setitem(CONFIGS, b"6", config)


def play(examples):
    limits = settings(
        max_examples=examples, stateful_step_count=25, phases=[Phases.generate]
    )
    machines.run_state_machine_as_test(CancelMachine, settings=limits)


def test_a_cancelled_job_is_never_stored_without_its_cancellation():
    play(100)


@pytest.mark.proof
def test_a_cancelled_job_is_never_stored_in_many_plays():
    play(10_000)


def test_the_machine_finds_a_cancellation_that_stores_nothing(monkeypatch):
    monkeypatch.setattr(Cancellations, "_withdraw", lambda *_call: True)
    with pytest.raises(AssertionError):
        play(100)
