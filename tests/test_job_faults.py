"""Long jobs under single faults of nodes, workers and the store.

Two tests disable a rule of the task lease and expect that a job then runs twice. They
show that the scenario would detect the fault.
"""

import dataclasses
import itertools

import pytest

import heatherhatch_daemon.tasks.task_monitor as task_monitor
from heatherhatch_core.coordination.attempts import LeaseEvidence
from heatherhatch_core.coordination.job_placer import JobPlacer
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.state.jobs import JobSpec, JobState, Usage, job_id_of
from heatherhatch_daemon.tasks.job_records import GroupCommit, JobRecords
from heatherhatch_daemon.transport.workers import Reading
from heatherhatch_standins.faults import Faults
from heatherhatch_standins.worker import Worker as WorkerStandin
from job_harness import (
    GRACE_S,
    LIMIT,
    Node,
    World,
    new_job,
    run_until,
    small_fleet,
    submit,
)


@pytest.fixture
def world():
    return World(small_fleet())


@pytest.fixture
def nodes(world):
    """Return two nodes, of which the first one holds the dispatcher's claim."""
    created = [Node(world), Node(world)]
    for _ in range(3):
        for node in created:
            node.finish_step()
        world.now += GRACE_S
    assert created[0].dispatcher.claim.holds()
    return created


def has_duplicate_run(world):
    live = [job_id for job_id, _ in world.running_attempts()]
    return len(live) != len(set(live))


def resume_until(node, condition):
    for _ in range(200):
        node.resume()
        if condition():
            return
    raise AssertionError("the condition never held between the calls of the node")


def run_node(world, node, seconds):
    end = world.now + seconds
    while world.now < end:
        node.finish_step()
        world.now += 1.0


def delay_start_order(world, nodes):
    """Delay a start order until a new holder has restarted the job elsewhere.

    The first dispatcher is suspended after it recorded the start and before it sent the
    order. Return whether a job then runs twice.
    """
    submit(world, [new_job(world, "red-1", run_s=300.0)])
    started = JobState.RUNNING
    resume_until(nodes[0], lambda: world.jobs()["red-1"].state is started)
    first = world.jobs()["red-1"].workers[0]
    nodes[0].resume()
    nodes[1].cut_workers.add(first)
    run_node(world, nodes[1], 60.0)
    assert world.jobs()["red-1"].attempt == 2
    nodes[0].resume()
    return has_duplicate_run(world)


def test_job_faults_delayed_start_order_starts_nothing(world, nodes):
    assert not delay_start_order(world, nodes)


def test_job_faults_job_runs_twice_if_lease_counts_from_arrival(
    world, nodes, monkeypatch
):
    start = WorkerStandin.start

    def start_counting_from_arrival(self, order):
        until = Reading(self.boot, self.clock() + 15.0)
        return start(self, dataclasses.replace(order, until=until))

    monkeypatch.setattr(WorkerStandin, "start", start_counting_from_arrival)
    assert delay_start_order(world, nodes)


def cut_off_worker(world, nodes):
    """Cut a new holder off from a worker that still runs its task.

    Return whether the job ever runs on two workers at the same time.
    """
    submit(world, [new_job(world, "red-1", run_s=300.0)])
    nodes[0].finish_step()
    run_node(world, nodes[0], 4.0)
    first = world.jobs()["red-1"].workers[0]
    nodes[0].kill()
    nodes[1].cut_workers.add(first)
    for _ in range(30):
        nodes[1].finish_step()
        world.now += 1.0
        if has_duplicate_run(world):
            return True
    assert world.jobs()["red-1"].attempt == 2
    return False


def test_job_faults_new_holder_waits_for_the_task_lease(world, nodes):
    assert not cut_off_worker(world, nodes)


def test_job_faults_job_runs_twice_if_new_holder_ignores_task_lease(
    world, nodes, monkeypatch
):
    monkeypatch.setattr(
        task_monitor,
        "inherited_lease",
        lambda lease, now, _grace: LeaseEvidence(lease, now),
    )
    assert cut_off_worker(world, nodes)


def test_job_faults_tasks_keep_running_through_a_store_outage(world, nodes):
    submit(world, [new_job(world, "red-1", run_s=300.0)])
    nodes[0].finish_step()
    world.set_outage(True)
    run_node(world, nodes[0], 120.0)
    assert list(world.running_attempts()) == [("red-1", 1)]
    world.set_outage(False)
    run_node(world, nodes[1], 30.0)
    assert world.jobs()["red-1"].attempt == 1
    assert list(world.running_attempts()) == [("red-1", 1)]


def test_job_faults_tasks_of_a_node_without_store_end(world, nodes):
    submit(world, [new_job(world, "red-1", run_s=300.0)])
    nodes[0].finish_step()
    nodes[0].cut_off = True
    for node in nodes:
        node.cut_workers.add(world.jobs()["red-1"].workers[0])
    run_node(world, nodes[0], 30.0)
    assert not world.running_attempts()


def test_job_faults_submission_is_idempotent(world):
    node = Node(world)
    faults = iter(["", "lost"])
    node.pause = lambda: next(faults, "")
    commits = GroupCommit(JobRecords(node.store, 60.0, world.clock), lambda _s: None)
    job = new_job(world, job_id_of("red", "key-1"))
    assert commits.commit([job]) == {job.job_id: job}
    later = dataclasses.replace(job, submitted_s=job.submitted_s + 9.0)
    assert commits.commit([later]) == {job.job_id: job}
    other = dataclasses.replace(job, spec=dataclasses.replace(job.spec, cpus=9))
    assert commits.commit([other])[job.job_id].kind is ErrorKind.KEY_REUSED
    assert len(world.jobs()) == 1


def test_job_faults_group_commit_keeps_new_jobs_alongside_a_resend(world):
    node = Node(world)
    commits = GroupCommit(JobRecords(node.store, 60.0, world.clock))
    old, new = new_job(world, "old"), new_job(world, "new")
    commits.commit([old])
    before = node.store.calls
    commits.commit([new_job(world, f"many-{i}") for i in range(50)])
    assert node.store.calls - before == 1
    assert commits.commit([old, new]) == {"old": old, "new": new}


def test_job_faults_outage_is_not_acknowledged(world):
    node = Node(world)
    commits = GroupCommit(JobRecords(node.store, 60.0, world.clock), lambda _s: None)
    world.set_outage(True)
    result = commits.commit([new_job(world, "a")])["a"]
    assert isinstance(result, HeatherhatchError)
    assert result.kind is ErrorKind.STORE_UNAVAILABLE


def test_job_faults_failing_job_ends_and_failing_worker_is_quarantined(world, nodes):
    # Every task fails on w1. The job named bad, submitted later, fails on all workers.
    world.boxes["w1"].faults = Faults(error_share=1.0)
    jobs = [new_job(world, f"red-{i}", run_s=2.0) for i in range(4)]
    jobs += [new_job(world, f"blue-{i}", "blue", run_s=2.0) for i in range(4)]
    submit(world, jobs)
    run_until(world, nodes, lambda: not world.jobs())
    assert {job.state for job in world.all_jobs().values()} == {JobState.DONE}
    assert nodes[0].dispatcher.dispatch.quarantine.quarantined() == ("w1",)

    world.boxes["w1"].faults = Faults()
    for box in world.boxes.values():
        box.faults = Faults(error_share=1.0)
    submit(world, [new_job(world, "bad", run_s=2.0)])
    world.now += 400.0
    run_until(world, nodes, lambda: not world.jobs(), seconds=4000.0, period_s=5.0)
    assert world.all_jobs()["bad"].state is JobState.FAILED


def test_job_faults_quarantine_ends_after_a_trial_job(world, nodes):
    world.boxes["w1"].faults = Faults(error_share=1.0)
    submit(world, [new_job(world, f"red-{i}", run_s=2.0) for i in range(4)])
    submit(world, [new_job(world, f"blue-{i}", "blue", run_s=2.0) for i in range(4)])
    run_until(world, nodes, lambda: not world.jobs())
    quarantine = nodes[0].dispatcher.dispatch.quarantine
    assert quarantine.quarantined() == ("w1",)
    world.boxes["w1"].faults = Faults()
    world.now += 301.0
    many = [new_job(world, f"red-{10 + i}", run_s=60.0) for i in range(LIMIT)]
    big = [
        dataclasses.replace(j, spec=dataclasses.replace(j.spec, cpus=4)) for j in many
    ]
    submit(world, big)
    run_until(world, nodes, lambda: not world.jobs())
    quarantine = next(
        n.dispatcher.dispatch.quarantine for n in nodes if n.dispatcher.claim.holds()
    )
    assert quarantine.quarantined() == ()


def test_job_faults_jobs_are_moved_off_before_a_wave(world, nodes):
    submit(world, [new_job(world, "red-1", run_s=100.0)])
    run_node(world, nodes[0], 40.0)
    (first,) = world.jobs()["red-1"].workers
    world.drain_times[first] = world.wall_clock() + 50.0
    run_node(world, nodes[0], 3.0)
    job = world.jobs()["red-1"]
    assert job.workers and job.workers != (first,)
    assert job.progress > 0.3


def test_job_faults_pressure_throttles_then_preempts_jobs(world, nodes):
    submit(world, [new_job(world, "red-1", run_s=100.0)])
    run_node(world, nodes[0], 3.0)
    (name,) = world.jobs()["red-1"].workers
    world.pressure = 1.0
    run_node(world, nodes[0], 1.0)
    assert world.workers[name].tasks["red-1"].share < 1.0
    run_node(world, nodes[0], 6.0)
    assert not world.running_attempts()
    world.pressure = 0.0
    run_until(world, nodes, lambda: not world.jobs())
    assert world.all_jobs()["red-1"].state is JobState.DONE


def test_job_faults_gang_runs_on_all_its_workers_or_none(world, nodes):
    submit(world, [new_job(world, "red-1", run_s=30.0, gang=3)])
    run_node(world, nodes[0], 2.0)
    assert world.running_attempts()["red-1", 1] == ["w1", "w2", "w3"]
    world.workers["w2"].reboot()
    run_node(world, nodes[0], 10.0)
    assert set(world.running_attempts()) == {("red-1", 2)}
    run_until(world, nodes, lambda: not world.jobs())


def test_job_faults_unplaceable_job_reports_the_missing_resource(world, nodes):
    submit(world, [new_job(world, "red-1", accelerators=8)])
    run_node(world, nodes[0], 2.0)
    assert "has at most 0" in world.jobs()["red-1"].detail


def test_job_faults_resource_estimates_are_learned(world, nodes):
    real_usage = Usage(1.0, 100.0, 0, 2.0)
    for worker in world.workers.values():
        worker.actual_usage = lambda _spec: real_usage
    specs = {"cpus": 4, "memory_mb": 60000, "run_s": 20.0}
    submit(world, [new_job(world, f"red-{i}", **specs) for i in range(8)])
    run_until(world, nodes, lambda: not world.jobs())
    learned = nodes[0].dispatcher.dispatch.estimator.estimate(
        "red", JobSpec("books", "", 4, 60000, run_s=20.0)
    )
    assert (learned.cpus, learned.memory_mb) == (1.0, 100.0)


def test_job_faults_idle_node_makes_few_store_calls(world, nodes):
    nodes[1].dispatcher.claim.poll_s = 5.0
    before = nodes[1].store.calls
    begun = world.now
    while world.now < begun + 100.0:
        for node in nodes:
            node.finish_step()
        world.now += 0.25
    assert nodes[1].store.calls - before <= 21


def test_job_faults_small_jobs_do_not_starve_a_large_job():
    # Red's small jobs end one after another. If every gap were filled with another
    # small job, blue's job, which needs a whole worker, would keep waiting.
    world = World(small_fleet(limit=99))
    node = Node(world)
    run_node(world, node, 4.0)
    small = [new_job(world, f"red-{i}", run_s=20.0 + 7 * i, cpus=2) for i in range(40)]
    submit(world, small)
    run_node(world, node, 10.0)
    submit(world, [new_job(world, "blue-1", "blue", run_s=5.0, cpus=4)])
    run_node(world, node, 60.0)
    assert world.all_jobs()["blue-1"].state is not JobState.QUEUED


def test_job_faults_dispatcher_yields_between_decisions(world, nodes, monkeypatch):
    events = []
    place = JobPlacer.place

    def recording_place(self, job):
        workers = place(self, job)
        events.extend(["start"] if workers else [])
        return workers

    monkeypatch.setattr(JobPlacer, "place", recording_place)
    for node in nodes:
        node.dispatcher.starter.pause = lambda: events.append("pause")
    submit(world, [new_job(world, f"red-{i}", run_s=5.0) for i in range(4)])
    run_until(world, nodes, lambda: not world.jobs())
    assert events.count("start") >= 4
    for before, after in itertools.pairwise(["start", *events, "start"]):
        assert "pause" in (before, after)
