"""A job that crashes each worker that runs it, on workers shared with other jobs."""

import dataclasses

import pytest

from heatherhatch_core.coordination.attempts import resolve_losses
from heatherhatch_core.state.jobs import JobState, Loss
from job_harness import GRACE_S, Node, World, new_job, run_until, small_fleet, submit

MAX_STARTS_AFTER_THIRD_CRASH = 2


@pytest.fixture
def world():
    return World(small_fleet(limit=12))


@pytest.fixture
def nodes(world):
    created = [Node(world), Node(world)]
    for _ in range(3):
        for node in created:
            node.finish_step()
        world.now += GRACE_S
    return created


def crash_workers_of(world, job_id):
    """Restart the workers that run a job; return how many there were."""
    crashed = 0
    for (running_id, _attempt), names in world.running_attempts().items():
        if running_id == job_id:
            crashed += len(names)
            for name in names:
                world.workers[name].reboot()
    return crashed


def play(world, nodes, ended, on_crash=lambda _count: None):
    """Crash each worker that runs the job "deadly" until a condition holds."""
    crashes = 0

    def step():
        nonlocal crashes
        crashed = crash_workers_of(world, "deadly")
        crashes += crashed
        if crashed:
            on_crash(crashes)
        return ended()

    run_until(world, nodes, step, seconds=2000.0)
    return crashes


# Guards against a job that takes down worker after worker.
def test_a_job_that_crashes_its_workers_fails(world, nodes):
    submit(world, [new_job(world, "deadly", run_s=300.0)])
    crashes = play(
        world, nodes, lambda: world.all_jobs()["deadly"].state is JobState.FAILED
    )
    assert crashes <= 3
    assert "crashed" in world.all_jobs()["deadly"].detail


# Guards against a count that misses workers which stay away longer than a lease.
def test_a_job_whose_workers_stay_away_for_long_fails(world, nodes):
    submit(world, [new_job(world, "deadly", run_s=300.0)])
    back_s = {}

    def step():
        for (job_id, _attempt), names in world.running_attempts().items():
            for name in names if job_id == "deadly" else ():
                world.workers[name].reboot()
                back_s[name] = world.now + 40.0
        down = {name for name, at_s in back_s.items() if world.now < at_s}
        for node in nodes:
            node.cut_workers = down
        return world.all_jobs()["deadly"].state is JobState.FAILED

    run_until(world, nodes, step, seconds=2000.0)
    assert world.all_jobs()["deadly"].attempt <= 3 + MAX_STARTS_AFTER_THIRD_CRASH


# Guards against failing the jobs that only shared a worker with such a job.
def test_jobs_beside_a_crashing_one_are_done(world, nodes):
    sound = [f"sound-{number}" for number in range(6)]
    jobs = [new_job(world, job_id, run_s=20.0, cpus=1) for job_id in sound]
    submit(world, [*jobs, new_job(world, "deadly", run_s=300.0)])

    def ended():
        return all(job.ended for job in world.all_jobs().values())

    crashes = play(world, nodes, ended)
    states = {job_id: world.all_jobs()[job_id].state for job_id in sound}
    assert set(states.values()) == {JobState.DONE}
    assert world.all_jobs()["deadly"].state is JobState.FAILED
    assert crashes <= 3 + MAX_STARTS_AFTER_THIRD_CRASH


# Guards against a count that is lost with the dispatcher.
def test_the_count_outlives_the_dispatcher(world, nodes):
    submit(world, [new_job(world, "deadly", run_s=300.0)])

    def replace_dispatcher(_crashes):
        nodes[0].kill()
        world.now += 2 * GRACE_S
        nodes[:] = [nodes[1], Node(world)]

    crashes = play(
        world,
        nodes,
        lambda: world.all_jobs()["deadly"].state is JobState.FAILED,
        replace_dispatcher,
    )
    assert crashes <= 3 + MAX_STARTS_AFTER_THIRD_CRASH


# Guards against failing a job whose workers were only silent.
def test_a_silent_worker_is_no_crash(world):
    job = dataclasses.replace(
        new_job(world, "sound"),
        losses=tuple(Loss(f"w{number}", "boot", True) for number in range(4)),
    )
    boots = {f"w{number}": "boot" for number in range(4)}
    after = resolve_losses(job, boots, world.now)
    assert (after.state, after.losses, after.crashed_on) == (JobState.QUEUED, (), ())


# Guards against taking the last answer of a worker from before it was lost for a proof.
def test_a_worker_that_has_not_answered_since_proves_nothing(world, nodes):
    submit(world, [new_job(world, f"warm-{n}", run_s=1.0, cpus=4) for n in range(3)])
    run_until(world, nodes, lambda: not world.jobs())
    boot = world.workers["w1"].boot
    for node in nodes:
        node.cut_workers = {"w1"}
    job = dataclasses.replace(
        new_job(world, "lost", run_s=300.0), losses=(Loss("w1", boot, True),)
    )
    submit(world, [job])
    for _step in range(4):
        for node in nodes:
            node.finish_step()
        world.now += 1.0
    assert world.jobs()["lost"].losses == job.losses
