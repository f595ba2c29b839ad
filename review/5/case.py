"""Jobs whose starts a busy worker refuses are not counted as waiting."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import PARAMETERS, Deployment, run_case, trouble  # noqa: E402

BUSY_S = 6.5
LARGE = {
    "spec": "run 60",
    "steps": [{"count": 1, "cpu": 8000, "memMb": 512, "estimatedMs": 60000}],
}
SMALL = {
    "spec": "run 5",
    "steps": [{"count": 1, "cpu": 250, "memMb": 512, "estimatedMs": 5000}],
}


def play(folder, closers):
    """Fill nine of ten workers, while the tenth answers 503 to starts."""
    site = Deployment(folder, {"scoring": 10})
    closers.append(site)
    site.configure(1, {"takings": "scoring"}, ["scoring"])
    site.start()
    for number in range(9):
        assert site.request(0, "POST", f"/takings/{number + 1:016x}", LARGE)[0] == 200
    time.sleep(1)
    begun_at = site.record.now()
    idle = next(worker for worker in site.workers if not worker.runs)
    if trouble():
        idle.is_busy = True
        site.record.note(f"worker {idle.id} turns busy for {BUSY_S} s")
    accepted = {}
    for number in range(24):
        job = f"{number + 101:016x}"
        if site.request(1, "POST", f"/takings/{job}", SMALL)[0] == 200:
            accepted[job] = site.record.now()
    old_s = PARAMETERS["visible_ms"] / 1000 + 2
    time.sleep(max(0, begun_at + BUSY_S - 0.5 - site.record.now()))
    wrong = []
    for number in range(len(site.instances)):
        asked_at = site.record.now()
        waiting = [
            job
            for job, at in accepted.items()
            if not site.starts(job) and asked_at - at > old_s
        ]
        status, answer = site.request(number, "GET", "/takings/")
        site.record.note(f"{len(waiting)} jobs wait for over {old_s} s")
        if status == 200 and json.loads(answer)["numWaiting"] < len(waiting) / 2:
            wrong.append(f"{site.instances[number].name}: {answer} of {len(waiting)}")
    return "; ".join(wrong)


run_case(Path(__file__).resolve().parent, play)
