"""Scenario of the demo: load, waves, faults and a withdrawn key, with checks."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent

from heatherhatch_core.api import InForce
from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Pool, Wave, WorkClass, WorkKind
from heatherhatch_core.state.jobs import JobSpec
from heatherhatch_daemon.transport.http import ExchangeError, HttpRequest

from .deployment import Deployment, GrantedKey
from .faults import FAULTS_PATH, Faults
from .held_requests import HELD_REQUESTS, HELD_S, hold_requests, is_success, outcome
from .load import BURST_S, CALL_TIMEOUT_S, Caller, Load, new_uuid7
from .observation import Observation, open_client
from .report import Guarantee, Report

LOAD_S = 30.0
MEAN_RATE = 32.0
KEY_WITHDRAWAL_S = 3.0
MAX_IN_FORCE_DELAY_S = 4.0
OUTAGE_S = 4.0
PAUSE_S = 3.0
JOBS = 20
JOB_RUN_S = 1.0
JOBS_END_S = 15.0
POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class WavePlan:
    """A wave of the demo.

    Attributes:
        wave_id: Id of the wave.
        rack: Rack whose workers are in the wave.
        start_s, end_s: Start and end, in seconds after the wave is announced.
    """

    wave_id: str
    rack: str
    start_s: float
    end_s: float


WAVES = (
    WavePlan("first", "dc-1-rack-1", 9.0, 13.0),
    WavePlan("second", "dc-1-rack-2", 17.0, 21.0),
)


class Scenario:
    """Runs load and faults against one deployment.

    Args:
        deployment: Started deployment.
        seed: Seed of the load.
        report: Report that receives checks and measures.
        write_progress: Function that prints progress.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        report: Report,
        write_progress: Callable[[str], None],
    ):
        self.deployment = deployment
        self.seed = seed
        self.report = report
        self.write_progress = write_progress
        self.keys: dict[str, GrantedKey] = {}
        self.jobs: list[str] = []
        self.load: Load | None = None

    def run(self) -> None:
        """Run the whole scenario and check the recorded results."""
        self._prepare()
        callers = tuple(Caller(team, key.token) for team, key in self.keys.items())
        self.load = load = Load(self.deployment, callers, MEAN_RATE, self.seed)
        started = time.time()
        events = [
            gevent.spawn(self._run_event, started, *event) for event in self._events()
        ]
        load.run(LOAD_S)
        gevent.joinall(events, raise_error=True)
        observation = Observation(self.deployment, self.report)
        observation.check_jobs(self.jobs)
        observation.check_load(load)
        observation.check_log()

    def _events(self) -> Iterator[tuple[float, str, Callable[[], None]]]:
        nodes = self.deployment.node_names
        store = self.deployment.store
        yield 0.5, "two waves are announced", self._announce
        yield 1.0, f"{JOBS} long jobs are submitted", self._submit
        yield 4.0, "a node is killed", lambda: self.deployment.trial.kill(nodes[1])
        yield 6.0, "a key is withdrawn", self._withdraw
        yield 7.0, "the node is started", lambda: self.deployment.start_node(nodes[1])
        yield (
            10.0,
            f"a node is paused for {PAUSE_S} s",
            lambda: self._pause_node(nodes[2]),
        )
        yield (
            12.5,
            "a node is shut down gracefully",
            lambda: self._shut_down_node(nodes[3]),
        )
        yield (
            22.5,
            f"the store is down for {OUTAGE_S} s",
            lambda: self._inject(store, Faults(down=True), OUTAGE_S),
        )

    def _run_event(
        self, started: float, at_s: float, what: str, action: Callable
    ) -> None:
        gevent.sleep(max(0.0, started + at_s - time.time()))
        self.write_progress(f"{self.deployment.name} {at_s:5.1f} s: {what}")
        action()

    def _prepare(self) -> None:
        edit = self.deployment.edit
        pools = tuple(
            Pool(pool.name, pool.min_available if pool.spare else 5, pool.spare)
            for pool in edit.pools
        )
        self.deployment.change(Edit(pools=pools))
        self.keys = {
            team.name: self.deployment.grant_key(team.name) for team in edit.teams
        }
        self.deployment.wait_for_seq(max(key.seq for key in self.keys.values()))

    def _announce(self) -> None:
        now = time.time()
        waves = tuple(
            Wave(
                plan.wave_id,
                now + plan.start_s,
                now + plan.end_s,
                tuple(
                    worker.worker_id
                    for worker in self.deployment.edit.workers
                    if worker.rack == plan.rack
                ),
            )
            for plan in WAVES
        )
        self._change_in_time(Edit(waves=waves))

    def _change_in_time(self, edit: Edit) -> None:
        started = time.monotonic()
        seq = self.deployment.change(edit)
        path = f"/v1/in-force?seq={seq}"
        while self.deployment.client().get(path, InForce).missing:
            gevent.sleep(POLL_S)
        elapsed_s = time.monotonic() - started
        self.report.check(Guarantee.IN_FORCE, elapsed_s <= MAX_IN_FORCE_DELAY_S)
        self.report.measure(f"{self.deployment.name}.in_force", elapsed_s, "s")

    def _submit(self) -> None:
        work_class = next(
            item for item in self.deployment.edit.classes if item.kind is WorkKind.JOB
        )
        team = self.deployment.edit.teams[0].name
        body = encode_json(JobSpec(work_class.name, "demo", run_s=JOB_RUN_S))
        bearer = ("Authorization", f"Bearer {self.keys[team].token}")
        client = open_client(self.deployment.balancer)
        for _ in range(JOBS):
            headers = (bearer, ("Idempotency-Key", new_uuid7()))
            request = HttpRequest("POST", "/jobs", body, headers)
            answer = client.exchange(request, CALL_TIMEOUT_S)
            self.report.check(Guarantee.JOBS, answer.status == 201)
            if answer.status == 201:
                self.jobs.append(decode_json(answer.body, dict)["job_id"])

    def _withdraw(self) -> None:
        team = self.deployment.edit.teams[-1].name
        key = self.keys[team]
        self.deployment.change(Edit(removals=(Removal("team-key", key.key_id),)))
        gevent.sleep(KEY_WITHDRAWAL_S)
        keyed_class = self._keyed_class()
        for node in self.deployment.node_names:
            client = open_client(self.deployment.caller_address(node))
            try:
                answer = client.exchange(
                    _request(keyed_class, key.token), CALL_TIMEOUT_S
                )
            except ExchangeError:
                continue
            self.report.check(Guarantee.KEYS, answer.status in (401, 503))

    def _pause_node(self, node: str) -> None:
        self.deployment.trial.pause(node)
        gevent.sleep(PAUSE_S)
        self.deployment.trial.resume(node)

    def _shut_down_node(self, node: str) -> None:
        client = open_client(self.deployment.caller_address(node))
        token = self.keys[self.deployment.edit.teams[0].name].token
        held, found = hold_requests(client, _request(self._idle_class(), token, HELD_S))
        code = self.deployment.trial.stop_process(node)
        gevent.joinall(held)
        found += [f"{node} exited with code {code}"] if code else []
        found += [f"{node} answered {outcome(i)}" for i in held if not is_success(i)]
        self.report.check_all(Guarantee.SHUTDOWN, found, 1 + HELD_REQUESTS)
        self.deployment.start_node(node)

    def _inject(self, address: str, faults: Faults, seconds: float) -> None:
        self._set_faults(address, faults)
        gevent.sleep(seconds)
        self._set_faults(address, Faults())

    def _set_faults(self, address: str, faults: Faults) -> None:
        request = HttpRequest("PUT", FAULTS_PATH, encode_json(faults))
        open_client(address).exchange(request, CALL_TIMEOUT_S)

    def _idle_class(self) -> WorkClass:
        # A pool in or just after its burst may be full and refuse the requests as not
        # run. Refused requests do not test whether a shutdown interrupts requests.
        elapsed = time.monotonic() - self.load.started_s
        busy = {self.load.bursting_pool(elapsed - ago_s) for ago_s in (0.0, BURST_S)}
        return self._keyed_class(frozenset(busy))

    def _keyed_class(self, excluded: frozenset[str] = frozenset()) -> WorkClass:
        """Return an idempotent request class that needs a team key."""
        return next(
            item
            for item in self.deployment.edit.classes
            if item.pool not in excluded
            and item.idempotent
            and not item.open
            and item.kind is WorkKind.REQUEST
        )


def _request(work_class: WorkClass, token: str, work_s: float = 0.0) -> HttpRequest:
    headers = [("Authorization", f"Bearer {token}")]
    if work_s:
        headers.append(("X-Work-Seconds", str(work_s)))
    return HttpRequest("POST", f"/run/{work_class.name}/demo", b"", tuple(headers))
