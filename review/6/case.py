"""A version gives a route another name; requests for its jobs go on at the same path."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_standins import PARAMETERS, call, route, run_case  # noqa: E402

TASK_MS = 500
STEPS = [{"count": 2, "cpu": 1000, "memMb": 100, "estimatedMs": TASK_MS}]


async def case(world, trouble) -> str:
    """Run the case; return what broke the rule."""
    world.configure([route("till", "shop")], ["shop"])
    for number in (1, 2, 3):
        world.cloud.add(f"m-{number}", "shop")
        await world.begin_worker(f"m-{number}", "shop")
    world.add_instances(3)
    await world.wait_until_ready()
    job = await world.submit(world.instances[0], "/till/", STEPS, TASK_MS)
    await world.wait_for(lambda: len(world.ends) == 2, 10, "end of the tasks")
    await asyncio.sleep(0.5)
    await call(world.instances[1], "GET", f"/till/{job}")
    if trouble:
        # The route "till" is removed, "till-2" is added: same host, prefix and service.
        world.configure([{**route("till", "shop"), "name": "till-2"}], ["shop"])
    longest_s = max(PARAMETERS["configApplyMs"], PARAMETERS["visible_ms"]) / 1000
    await asyncio.sleep(longest_s + 0.5)
    answers = [
        (instance.name, (await call(instance, "GET", f"/till/{job}"))[0])
        for instance in world.instances
    ]
    # The request that was accepted arrives once more.
    body = {"spec": json.dumps({"ms": TASK_MS}), "steps": STEPS}
    status, _answer = await call(world.instances[2], "POST", f"/till/{job}", body)
    await asyncio.sleep(3.0)
    again = [
        (task, run, worker.worker_id, round(at_s, 3))
        for at_s, worker, task, run in world.starts
        if any(
            end[2] == task and end[4] == "done" and end[0] < at_s for end in world.acked
        )
    ]
    if not again:
        return ""
    return (
        f"starts of tasks whose end done had been taken note of (task, run, worker, at): "
        f"{again}; the "
        f"repeated request was answered {status}; GET for the accepted job before it "
        f"was answered (instance, status): {answers}"
    )


run_case(__file__, case)
