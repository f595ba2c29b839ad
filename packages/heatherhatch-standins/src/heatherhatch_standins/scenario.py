"""The demo's scenario for one deployment: load, a key withdrawn, a node ended."""

import random
import time
from collections.abc import Callable

import gevent

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import WorkClass, WorkKind
from heatherhatch_daemon.settings import Address
from heatherhatch_daemon.transport.http import ExchangeError, HttpClient, HttpRequest

from .deployment import Deployment
from .report import Promise, Report

CALLERS = 8
LOAD_S = 3.0
CALL_TIMEOUT_S = 5.0
KEY_STOP_S = 3.0


class Scenario:
    """Runs load and faults against one deployment.

    Args:
        deployment: Started deployment.
        seed: Seed of the load.
        report: Where observations go.
        say: Prints progress.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        report: Report,
        say: Callable[[str], None],
    ):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.report = report
        self.say = say
        self.tokens: dict[str, str] = {}
        self.answered = 0

    def run(self) -> None:
        """Run the whole scenario."""
        name = self.deployment.name
        keys = [self.deployment.grant_key(t.name) for t in self.deployment.edit.teams]
        self.tokens = {key.key_id: key.token for key in keys}
        self.deployment.wait_for_seq(keys[-1].seq)
        self.say(f"{name}: load from {CALLERS} callers for {LOAD_S} s")
        self._load()
        self.report.measure(f"{name}.answered", self.answered / LOAD_S, "requests/s")
        self.say(f"{name}: a node ends gracefully")
        code = self.deployment.trial.end(self.deployment.node_names[-1])
        self.report.check(Promise.SHUTDOWN, code == 0)
        self.say(f"{name}: a key is withdrawn")
        self._withdraw(keys[0].key_id, keys[0].token)

    def _load(self) -> None:
        end = time.monotonic() + LOAD_S
        callers = [gevent.spawn(self._call_until, end) for _ in range(CALLERS)]
        gevent.joinall(callers, raise_error=True)

    def _call_until(self, end: float) -> None:
        client = HttpClient(Address.parse(self.deployment.balancer), 1, CALL_TIMEOUT_S)
        classes = [
            item
            for item in self.deployment.edit.classes
            if item.kind is WorkKind.REQUEST and item.idempotent
        ]
        tokens = sorted(self.tokens.values())
        while time.monotonic() < end:
            body = self.random.randbytes(64)
            work_class = self.random.choice(classes)
            request = _request(work_class, body, self.random.choice(tokens))
            answer = client.exchange(request, CALL_TIMEOUT_S)
            if answer.status == 200:
                self.report.check(Promise.WHOLE_ANSWER, answer.body == body)
                self.answered += 1

    def _withdraw(self, key_id: str, token: str) -> None:
        edit = Edit(removals=(Removal("team-key", key_id),))
        self.deployment.change(edit)
        gevent.sleep(KEY_STOP_S)
        classes = self.deployment.edit.classes
        closed = next(item for item in classes if not item.open)
        for node in self.deployment.node_names[:-1]:
            address = Address.parse(self.deployment.callers(node))
            client = HttpClient(address, 1, CALL_TIMEOUT_S)
            try:
                answer = client.exchange(_request(closed, b"", token), CALL_TIMEOUT_S)
            except ExchangeError:
                continue
            self.report.check(Promise.KEYS, answer.status == 401)


def _request(work_class: WorkClass, body: bytes, token: str) -> HttpRequest:
    headers = (("Authorization", f"Bearer {token}"),)
    return HttpRequest("POST", f"/run/{work_class.name}/demo", body, headers)
