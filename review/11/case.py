"""After a busy time the jobs of a tenant on two services block each other for ever."""

from pathlib import Path

import gevent
from fleet_harness import Fleet, main, route, tenant

POOLS = ("till", "wall")
WORKERS = 3  # of each pool
WORKER_CPU = 16000
LIMIT_CPU = 16000  # of the tenant, in all pools together
TASK_CPU = 3000
JOBS = 8  # of the tenant on each queue
BUSY_S = 6
WATCH_S = 35.0
IDLE_S = 3.0  # the time without a run that the rule allows
STEP_S = 0.1


def play():
    """Return how the rule LOST was broken."""
    with Fleet(Path(__file__).parent, instances=2) as fleet:
        for pool in POOLS:
            for number in range(WORKERS):
                fleet.add_worker(
                    f"i-{pool}-{number}", f"m-{pool}-{number}", pool, cpu=WORKER_CPU
                )
        tenants = [tenant(cpu=LIMIT_CPU), tenant("t2", ("key-2",))]
        fleet.configure(
            [route(pool, pool) for pool in POOLS],
            [{"name": pool} for pool in POOLS],
            tenants,
        )
        fleet.start()
        if fleet.trouble:
            # Another tenant fills both pools for some seconds.
            count = WORKERS * WORKER_CPU // 1000
            burst = {"count": count, "cpu": 1000, "estimatedMs": BUSY_S * 1000}
            for pool in POOLS:
                fleet.submit(pool, [burst], f"done {BUSY_S}", tenant="t2", key="key-2")
        gevent.sleep(1)
        step = {"count": 1, "cpu": TASK_CPU, "estimatedMs": 1000}
        jobs = [
            (pool, fleet.submit(pool, [step], "done 1"))
            for _number in range(JOBS)
            for pool in POOLS
        ]
        accepted_s = fleet.now()
        idle_s = longest_s = shown_s = 0.0
        while fleet.now() - accepted_s < WATCH_S:
            gevent.sleep(STEP_S)
            # Nothing at all runs: the tenant, the services and the workers are idle.
            idle_s = 0.0 if fleet.running else idle_s + STEP_S
            longest_s = max(longest_s, idle_s)
            if fleet.now() - shown_s > 2.0:
                shown_s = fleet.now()
                states = [fleet.state(*job) for job in jobs]
                fleet.note(f"{len(fleet.running)} tasks run; the jobs are {states}")
                if set(states) == {"completed"}:
                    return []
        waiting = [
            job for job, state in zip(jobs, states, strict=True) if state == "queued"
        ]
        if not waiting or longest_s < IDLE_S:
            return []
        return [
            f"LOST: {len(waiting)} of {len(jobs)} accepted jobs have nothing running "
            f"{WATCH_S:.0f} s after their acknowledgement; for the last {idle_s:.0f} s "
            f"nothing runs at all, and their tenant uses 0 of {LIMIT_CPU}"
        ]


main(play)
