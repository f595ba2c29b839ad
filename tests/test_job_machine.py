"""Long jobs under random combinations of faults.

The state machine interleaves the calls of two dispatchers with faults of nodes,
workers and the store. It guards against jobs that run twice, are lost or exceed the
team's limit.
"""

from collections import Counter

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from heatherhatch_core.coordination.attempts import LeaseEvidence
from heatherhatch_daemon.tasks.job_records import GroupCommit, JobRecords
from job_harness import LIMIT, Node, World, new_job, run_until, small_fleet

FAULTS = st.sampled_from(["", "", "", "", "lost", "refused", "delayed"])
ACTIONS = [
    *["submit"] * 3,
    *["run_steps"] * 5,
    *["resume"] * 5,
    *["pass_time"] * 4,
    *["lose_worker"] * 2,
    *["heal"] * 2,
    *["deliver_late"] * 2,
    "kill",
    "cut_worker",
    "cut_store",
    "outage",
    "reboot",
    "fail_tasks",
    "cancel_wave",
]
JOBS_MAX = 10


class BrokenPromiseError(AssertionError):
    pass


# Hypothesis derives the seed from the source of this class without its comments. With
# another seed, the search of the last test may miss the duplicate run.
class JobMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.world = World(small_fleet())
        self.nodes = [Node(self.world), Node(self.world)]
        self.acknowledged = {}
        self.ended = {}
        self.count = 0
        # The cluster has been up for some time when the faults begin: one of the nodes
        # holds the dispatcher's claim.
        for _ in range(3):
            for node in self.nodes:
                node.finish_step()
            self.world.now += 2.0
        assert any(node.dispatcher.claim.holds() for node in self.nodes)

    # One rule draws all actions. With one rule for each action, most histories would
    # have either no jobs or no faults.
    @rule(
        action=st.sampled_from(ACTIONS),
        node=st.integers(0, 1),
        worker=st.sampled_from(["w1", "w2", "w3"]),
        number=st.integers(0, 11),
        faults=st.lists(FAULTS, min_size=1, max_size=12),
    )
    def act(self, action, node, worker, number, faults):
        getattr(self, action)(node, worker, number, faults)

    def submit(self, node, worker, number, faults):
        if self.count >= JOBS_MAX:
            return
        self.count += 1
        team = ("red", "blue")[number % 2]
        run_s = (1.0, 20.0, 60.0)[number % 3]
        gang = 2 if number % 4 == 3 else 1
        name = f"{team}-{self.count}"
        job = new_job(self.world, name, team, run_s=run_s, gang=gang)
        entry = Node(self.world)
        lost = iter(["", faults[0]])
        entry.pause = lambda: next(lost, "")
        records = JobRecords(entry.store, 86_400.0, self.world.clock)
        results = GroupCommit(records, pause=lambda _s: None).commit([job])
        if results[name] == job:
            self.acknowledged[name] = job

    def resume(self, node, worker, number, faults):
        for fault in faults:
            self.nodes[node].resume(fault)

    def run_steps(self, node, worker, number, faults):
        for _ in range(1 + number % 3):
            self.nodes[node].finish_step()
            self.world.now += 0.25

    def pass_time(self, node, worker, number, faults):
        self.world.now += (0.5, 2.0, 4.0, 7.0, 16.0, 20.0)[number % 6]

    def kill(self, node, worker, number, faults):
        self.nodes[node].kill()
        self.nodes[node] = Node(self.world)

    def cut_worker(self, node, worker, number, faults):
        self.nodes[node].cut_workers.add(worker)

    def heal(self, node, worker, number, faults):
        self.nodes[node].cut_workers.clear()
        self.nodes[node].cut_off = False

    def lose_worker(self, node, worker, number, faults):
        # The worker keeps running its tasks while the node waits for the lease to
        # expire.
        self.nodes[node].cut_workers.add(worker)
        for _ in range(9):
            self.nodes[node].finish_step()
            self.world.now += 2.0

    def cut_store(self, node, worker, number, faults):
        self.nodes[node].cut_off = True

    def outage(self, node, worker, number, faults):
        self.world.set_outage(number % 3 == 0)

    def reboot(self, node, worker, number, faults):
        self.world.workers[worker].reboot()

    def fail_tasks(self, node, worker, number, faults):
        box = self.world.boxes[worker]
        box.faults = type(box.faults)(error_share=float(number % 3 == 0))

    def deliver_late(self, node, worker, number, faults):
        if self.world.late:
            control, act = self.world.late.pop(0)
            act(self.world.workers[control])

    # Cancels all unfinished jobs.
    def cancel_wave(self, node, worker, number, faults):
        if self.world.outage or number % 3:
            return
        records = JobRecords(self.world.store, 86_400.0, self.world.clock)
        for page in list(records.pages("jobs/")):
            records.cancel(list(page), self.world.wall_clock())

    @invariant()
    def one_live_attempt(self):
        if not hasattr(self, "world"):
            return
        live = Counter(job_id for job_id, _ in self.world.running_attempts())
        twice = [job_id for job_id, count in live.items() if count > 1]
        if twice:
            raise BrokenPromiseError(twice)

    @invariant()
    def nothing_lost(self):
        if hasattr(self, "world"):
            assert self.acknowledged.keys() <= self.world.all_jobs().keys()

    @invariant()
    def ended_once(self):
        if not hasattr(self, "world"):
            return
        live = self.world.jobs()
        ended = self.world.jobs("ended-jobs/")
        assert not live.keys() & ended.keys()
        for job_id, job in self.ended.items():
            assert ended[job_id] == job
        self.ended = ended

    @invariant()
    def units_recorded(self):
        if not hasattr(self, "world"):
            return
        units = Counter()
        for job in self.world.jobs().values():
            units[job.team] += job.units
        for team, record in self.world.grants().items():
            assert record.jobs == units[team]
            assert record.jobs <= LIMIT

    @invariant()
    def limit_held_on_workers(self):
        if not hasattr(self, "world"):
            return
        teams = Counter()
        for (job_id, _), workers in self.world.running_attempts().items():
            teams[job_id.split("-")[0]] += len(workers)
        if any(count > LIMIT for count in teams.values()):
            raise BrokenPromiseError(teams)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.set_outage(False)
        for node in self.nodes:
            node.cut_off = False
            node.cut_workers.clear()
        for box in self.world.boxes.values():
            box.faults = type(box.faults)()
        run_until(
            self.world, self.nodes, lambda: not self.world.jobs(), 600.0, period_s=1.0
        )
        self.nothing_lost()
        self.one_live_attempt()
        for node in self.nodes:
            node.kill()


SETTINGS = settings(
    max_examples=180,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def test_job_machine_holds_its_invariants_under_faults():
    run_state_machine_as_test(JobMachine, settings=SETTINGS)


def test_job_machine_detects_an_ignored_task_lease(monkeypatch):
    # Treats attempts as ended without waiting for the worker's lease to expire.
    monkeypatch.setattr(LeaseEvidence, "has_expired", lambda self, now_s: True)
    with pytest.raises(BrokenPromiseError):
        run_state_machine_as_test(JobMachine, settings=SETTINGS)
