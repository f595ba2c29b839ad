"""Counts requests doubled, lost or wrongly reported under a seeded mix of faults."""

import random
import time
from collections import Counter, defaultdict

import gevent
import msgspec

from heatherhatch_core.state.changes import Edit
from heatherhatch_core.state.entities import Pool, Team, WorkClass, Worker, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import (
    ExchangeError,
    HttpAnswer,
    HttpClient,
    HttpRequest,
)
from heatherhatch_standins.deployment import Deployment
from heatherhatch_standins.faults import FAULTS_PATH, Faults
from heatherhatch_standins.processes import Trial

from .requests import own_key

SEEDS = (1, 2)
RUN_S = 40.0
NODES = 4
CALLERS = 32
MAX_ATTEMPTS = 6
CONCURRENT_RESEND_SHARE = 0.1
TIMEOUT_S = 4.0
FAULT_FREE_END_S = 6.0
OK_STATUS = 200

EDIT = Edit(
    pools=(Pool("tills", 1),),
    teams=(Team("red", 1.0, 400),),
    classes=(
        WorkClass("stock", "tills", WorkKind.REQUEST, 2.0, idempotent=True),
        WorkClass("settle", "tills", WorkKind.REQUEST, 2.0),
    ),
    workers=tuple(
        Worker(f"w{i}", f"fd-{i}", "r1", "127.0.0.1:1", "tills") for i in range(4)
    ),
)


class FaultTrial:
    """Callers that retry, while faults are injected into nodes and platform.

    Args:
        deployment: Deployment that is running.
        token: Token of the team key.
        seed: Seed of the load and the faults.
    """

    def __init__(self, deployment: Deployment, token: str, seed: int):
        self.deployment = deployment
        self.token = token
        self.random = random.Random(seed)
        self.seed = seed
        self.end_s = time.monotonic() + RUN_S
        self.sent = Counter()
        self.faults = Counter()
        self.acknowledged: set[str] = set()
        self.execution_reports: defaultdict[str, set[str]] = defaultdict(set)
        self.keyed: set[str] = set()
        self.wrong_answers = 0

    def run(self) -> None:
        """Run the callers and the fault injection concurrently."""
        greenlets = [gevent.spawn(self._caller, i) for i in range(CALLERS)]
        greenlets += [
            gevent.spawn(self._disrupt_nodes),
            gevent.spawn(self._disrupt_platform),
        ]
        gevent.joinall(greenlets, raise_error=True)

    def executed(self) -> Counter[str]:
        """Return how often the backend servers executed each request."""
        counts = Counter()
        for address in self.deployment.backends.values():
            client = HttpClient(Address.parse(address), 1, TIMEOUT_S)
            answer = client.exchange(HttpRequest("GET", "/executed"), TIMEOUT_S)
            counts.update(msgspec.json.decode(answer.body))
        return counts

    def _caller(self, number: int) -> None:
        count = 0
        while time.monotonic() < self.end_s:
            count += 1
            name = f"{self.seed}-{number}-{count}"
            if self.random.random() < 0.5:
                self._send_until_decided(name, "stock", "")
                continue
            key = self._ticket() if self.random.random() < 0.5 else self._own_key()
            if not key:
                continue
            self.keyed.add(name)
            sends = [gevent.spawn(self._send_until_decided, name, "settle", key)]
            if self.random.random() < CONCURRENT_RESEND_SHARE:
                sends.append(
                    gevent.spawn(self._send_until_decided, name, "settle", key)
                )
            gevent.joinall(sends, raise_error=True)

    def _send_until_decided(self, name: str, work_class: str, key: str) -> None:
        for _ in range(MAX_ATTEMPTS):
            body = f"{name} {work_class}".encode()
            headers = [("X-Request-Id", name)]
            if key:
                headers.append(("Idempotency-Key", key))
            answer = self._exchange("POST", f"/run/{work_class}/x", body, headers)
            self.sent[work_class] += 1
            if answer is None:
                self.execution_reports[name].add("nothing")
            elif answer.status == OK_STATUS:
                self._record_success(name, body, answer)
                return
            elif not self._record_refusal(name, answer):
                return
            gevent.sleep(self.random.random() * 0.2)

    def _record_success(self, name: str, body: bytes, answer: HttpAnswer) -> None:
        echoed = dict(answer.headers).get("x-request-id")
        self.wrong_answers += answer.body != body or echoed != name
        self.acknowledged.add(name)

    def _record_refusal(self, name: str, answer: HttpAnswer) -> bool:
        """Record what a refusal reports and return True if it allows a retry."""
        try:
            problem = msgspec.json.decode(answer.body)
        except msgspec.DecodeError:
            # An error of the backend server itself counts as an answer.
            self.execution_reports[name].add("answer")
            return False
        self.execution_reports[name].add(problem["execution"])
        return problem["retry"] != "never"

    def _exchange(self, method, path, body=b"", headers=()) -> HttpAnswer | None:
        node = self.random.choice(self.deployment.node_names)
        address = Address.parse(self.deployment.caller_address(node))
        client = HttpClient(address, 1, 1.0)
        sent = (("Authorization", f"Bearer {self.token}"), *headers)
        try:
            return client.exchange(HttpRequest(method, path, body, sent), TIMEOUT_S)
        except ExchangeError:
            return None
        finally:
            client.close()

    def _ticket(self) -> str:
        answer = self._exchange("POST", "/tickets")
        if answer is None or answer.status != 201:
            return ""
        return msgspec.json.decode(answer.body)["tickets"][0]

    def _own_key(self) -> str:
        return own_key(time.time(), self.random)

    def _disrupt_nodes(self) -> None:
        trial = self.deployment.trial
        while time.monotonic() < self.end_s - FAULT_FREE_END_S:
            gevent.sleep(self.random.uniform(0.5, 2.5))
            node = self.random.choice(self.deployment.node_names)
            fault = self.random.choice(("kill", "pause", "pause"))
            self.faults[fault] += 1
            if fault == "kill":
                trial.kill(node)
                gevent.sleep(self.random.uniform(0.0, 1.0))
                self.deployment.start_node(node)
                gevent.sleep(2.0)
            else:
                trial.pause(node)
                gevent.sleep(self.random.choice((0.3, 1.0, 3.0)))
                trial.resume(node)

    def _disrupt_platform(self) -> None:
        """Inject independent faults into the store and one backend server."""
        while time.monotonic() < self.end_s - FAULT_FREE_END_S:
            gevent.sleep(self.random.uniform(0.2, 1.5))
            store = self.random.choice(
                (Faults(down=True), Faults(lost_share=0.3), Faults(delay_s=0.3))
            )
            backend = self.random.choice(tuple(self.deployment.backends.values()))
            backend_faults = self.random.choice(
                (
                    Faults(lost_share=0.2),
                    Faults(truncated_share=0.2),
                    Faults(silent_share=0.05),
                    Faults(down=True),
                )
            )
            self.faults["platform"] += 1
            self._set_faults(self.deployment.store, store)
            self._set_faults(backend, backend_faults)
            gevent.sleep(self.random.uniform(0.3, 2.5))
            self._set_faults(self.deployment.store, Faults())
            self._set_faults(backend, Faults())

    def _set_faults(self, address: str, faults: Faults) -> None:
        client = HttpClient(Address.parse(address), 1, TIMEOUT_S)
        body = msgspec.json.encode(faults)
        client.exchange(HttpRequest("PUT", FAULTS_PATH, body), TIMEOUT_S)
        client.close()


def run(seeds: tuple[int, ...] = SEEDS) -> None:
    """Print the requests that were handled wrongly under faults, for each seed."""
    for seed in seeds:
        with Trial() as trial:
            deployment = Deployment(trial, "storm", EDIT, nodes=NODES)
            deployment.start()
            key = deployment.grant_key("red")
            deployment.wait_for_seq(key.seq)
            trial_run = FaultTrial(deployment, key.token, seed)
            trial_run.run()
            gevent.sleep(TIMEOUT_S)
            _report(trial_run)


def _report(trial_run: FaultTrial) -> None:
    executed = trial_run.executed()
    name = f"faults.seed{trial_run.seed}"
    settled = trial_run.keyed
    doubled = sum(executed[item] > 1 for item in settled)
    lost = sum(not executed[item] for item in settled & trial_run.acknowledged)
    false_denials = [
        item
        for item in settled - trial_run.acknowledged
        if trial_run.execution_reports[item] == {"not run"} and executed[item]
    ]
    print(f"{name}.requests {trial_run.sent.total()} requests")
    print(f"{name}.keyed {len(settled)} requests")
    print(f"{name}.acknowledged {len(settled & trial_run.acknowledged)} requests")
    print(f"{name}.faults {trial_run.faults.total()} faults")
    for what, count in (
        ("doubled", doubled),
        ("lost", lost),
        ("false_not_run", len(false_denials)),
        ("wrong_or_partial", trial_run.wrong_answers),
    ):
        print(f"{name}.{what} {count} requests{' MISSED 0' if count else ''}")


if __name__ == "__main__":
    import sys

    run(tuple(int(item) for item in sys.argv[1:]) or SEEDS)
