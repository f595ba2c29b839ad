"""A job whose cancelling was acknowledged with 410 is stored and run afterwards."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import PARAMETERS, Deployment, run_case, trouble  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = f"/takings/{JOB}"
CUT_S = 9.0
BODY = {
    "spec": "run 4",
    "steps": [{"count": 2, "cpu": 2000, "memMb": 512, "estimatedMs": 4000}],
}


def play(folder, closers):
    """Cut one instance from the store, post a job there, and cancel it elsewhere."""
    site = Deployment(folder, {"scoring": 7}, cut_from_store=(0,))
    closers.append(site)
    site.configure(1, {"takings": "scoring"}, ["scoring"])
    # The instance that is cut off starts last, so that others hold the roles.
    site.instances = site.instances[1:] + site.instances[:1]
    site.start()
    first = len(site.instances) - 1
    assert site.request(first, "POST", "/takings/00000000000000aa", BODY)[0] == 200
    time.sleep(1)
    if trouble():
        site.links[0].cut()
        site.record.note(f"instance {site.instances[first].name} is cut from the store")
        threading.Timer(CUT_S, heal, [site]).start()
    time.sleep(0.2)
    status = site.request(first, "POST", PATH, BODY)[0]
    if status in (429, 503, 404, 401):
        raise RuntimeError("the job was refused, so that there is nothing to cancel")
    status = site.request(0, "DELETE", PATH)[0]
    cancelled = site.record.now()
    if status not in (200, 410):
        raise RuntimeError(f"the cancel was answered {status}")
    time.sleep(CUT_S + 5)
    site.state(0, PATH)
    late_s = PARAMETERS["cancel_ms"] / 1000
    late = [item for item in site.starts(JOB) if item[0] > cancelled + late_s]
    if late:
        return f"started {late[0][0] - cancelled:.1f} s after the cancel: {late}"
    return ""


def heal(site):
    """End the cut."""
    site.links[0].heal()
    site.record.note("the cut has healed")


run_case(Path(__file__).resolve().parent, play)
