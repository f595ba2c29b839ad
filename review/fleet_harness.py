"""A small deployment for the cases 11 to 15: stand-ins, callers and real instances.

The instances are started with the command of the deploy file. The store is the
project's own stand-in; workers, machines and callers are written here from the pages of
the platform. Everything listens on loopback addresses.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for folder in (
    ROOT / "target" / "deps",
    ROOT / "packages" / "heatherhatch-core" / "src",
    ROOT / "packages" / "heatherhatch-daemon" / "src",
    ROOT / "platform" / "src",
):
    sys.path.insert(0, str(folder))

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.pool import Pool  # noqa: E402
from gevent.pywsgi import WSGIHandler, WSGIServer  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from heatherhatch_platform_standin.store import StandinStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
METRICS_PORT = 9464
PARAMETERS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "quotaExcess": 0.1,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointS": 2,
    "restoreMs": 100,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "requireFence": True,
    "leaseMs": 3000,
    "paceMs": 100,
    "harmMs": 4000,
}
REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 421: "Misdirected Request"}


class ConnectionLostError(Exception):
    """A call that gets no answer; its connection is closed."""


class Handler(WSGIHandler):
    """Closes the connection of a call that gets no answer."""

    def handle_error(self, kind, value, traceback):
        """Close the connection."""
        if kind is not None and issubclass(kind, (ConnectionLostError, OSError)):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


class Server:
    """Serves a function of method, path, headers and body that returns status, body."""

    def __init__(self, ip, handle):
        self.handle = handle
        self.server = self._listen(ip, 0)
        self.address = f"{ip}:{self.server.server_port}"

    def _listen(self, ip, port):
        server = WSGIServer(
            (ip, port),
            self._serve,
            log=None,
            error_log=None,
            spawn=Pool(),
            handler_class=Handler,
        )
        server.start()
        return server

    def _serve(self, environ, start_response):
        size = int(environ.get("CONTENT_LENGTH") or 0)
        data = environ["wsgi.input"].read(size) if size else b""
        body = json.loads(data) if data else {}
        status, answer = self.handle(environ, body)
        text = json.dumps(answer).encode()
        head = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(text))),
        ]
        start_response(f"{status} {REASONS.get(status, 'Status')}", head)
        return [text]

    def restart(self):
        """Close all connections and listen on the same port again."""
        host, port = self.server.server_host, self.server.server_port
        self.server.stop(timeout=0)
        self.server = self._listen(host, port)

    def stop(self):
        """Stop listening and close all connections."""
        self.server.stop(timeout=0)


class Link:
    """The way of one instance to one peer.

    While it is cut, nothing passes. What was sent before on an open connection is
    delivered once the cut is over, as TCP sends it again until then, also if the sender
    has closed the connection meanwhile, unless that was by a reset. Connections that
    are opened meanwhile come to nothing.

    Attributes:
        cut: True while nothing passes.
        on_data: Called with the data of the instance before it is passed on.
    """

    def __init__(self, ip, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.cut = False
        self.on_data = lambda data: None
        self.server = StreamServer((ip, 0), self._serve)
        self.server.start()
        self.address = f"{ip}:{self.server.server_port}"

    def stop(self):
        """Stop listening."""
        self.server.stop(timeout=0)

    def _serve(self, client, _address):
        if self.cut:
            self._await_end(client)
            client.close()
            return
        try:
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = gevent.spawn(self._pump, server, client, lambda _data: None)
        self._pump(client, server, lambda data: self.on_data(data))
        back.join(timeout=5)
        back.kill()
        server.close()
        client.close()

    def _await_end(self, _sock):
        while self.cut:
            gevent.sleep(0.01)

    def _pump(self, source, sink, on_data):
        try:
            while data := source.recv(65536):
                on_data(data)
                was_cut = self.cut
                while self.cut:
                    gevent.sleep(0.01)
                if was_cut and source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    # The sender has reset the connection: what is held is lost.
                    return
                sink.sendall(data)
            while self.cut:
                gevent.sleep(0.01)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset: what is held is lost.
            return


class Run:
    """One run on a worker."""

    def __init__(self, task, number, spec):
        self.task = task
        self.number = number
        self.spec = spec
        self.begun_s = time.monotonic()
        kind, _, rest = spec.partition(" ")
        self.kind = kind
        self.until_s = float("inf")
        if kind in ("done", "fail"):
            self.until_s = self.begun_s + float(rest.split()[0])
        self.stop_at_s = float("inf")


class Worker:
    """A worker as PROTOCOL.md describes it, with ``commands`` = ``rpc``.

    The spec of a task is ``done SECONDS``, ``fail SECONDS`` or ``last``.

    Attributes:
        cut: While true, nothing that arrives is handled or answered.
        filters: Called with path and body before a call is handled; a number of
            seconds means that the call gets no answer and is carried out that late.
    """

    def __init__(self, fleet, worker_id, machine, pool, kind="a", rack="r1", cpu=8000):
        self.fleet = fleet
        self.worker_id = worker_id
        self.machine = machine
        self.pool = pool
        self.labels = [kind, rack]
        self.capacity = {"cpu": cpu, "memMb": 64000, "gpu": 0}
        self.zone = "z1"
        self.sequence = 0
        self.cut = False
        self.down = False
        self.filters = lambda path, body: None
        self._reset()
        self.server = Server(fleet.ip(), self._handle)
        self.greenlets = [gevent.spawn(self._beat_loop), gevent.spawn(self._run_loop)]

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.refused = {}
        self.ends = []
        self.end_count = 0
        self.changed = Event()

    @property
    def clock_ms(self):
        """The worker's own clock."""
        return int((time.monotonic() - self.started_s) * 1000)

    def beat(self):
        """Write the entry in the directory."""
        self.sequence += 1
        entry = {
            "service": self.pool,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "machine": self.machine,
            "born": self.born,
            "sequence": self.sequence,
        }
        self.fleet.store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    def remove(self):
        """Remove the entry from the directory."""
        self.fleet.store.remove(f"servers/{self.worker_id}")

    def crash(self):
        """Lose all runs and close all connections."""
        self.down = True
        self.fleet.note(f"worker {self.worker_id} crashes with {sorted(self.runs)}")
        for run in list(self.runs.values()):
            self.fleet.run_gone(self, run, "crashed")
        self.runs = {}
        self.server.stop()

    def start_again(self, kind=None):
        """Begin a new life under the same id and address."""
        if kind is not None:
            self.labels = [kind, self.labels[1]]
        self._reset()
        self.server.restart()
        self.down = False
        self.fleet.note(f"worker {self.worker_id} is back, born {self.born}")
        self.beat()

    def stop(self):
        """End the worker."""
        gevent.killall(self.greenlets)
        self.server.stop()

    def _beat_loop(self):
        while True:
            if not self.down:
                self.beat()
            gevent.sleep(HEARTBEAT_S)

    def _run_loop(self):
        while True:
            gevent.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms >= self.deadline_ms
            for run in list(self.runs.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif now >= run.stop_at_s:
                    self._end(run, "stopped")
                elif now >= run.until_s:
                    self._end(run, "failed" if run.kind == "fail" else "done")

    def _end(self, run, how):
        del self.runs[run.task, run.number]
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.fleet.run_gone(self, run, how)
        self.changed.set()

    def _handle(self, environ, body):
        born = self.born
        while self.cut:
            gevent.sleep(0.05)
            if not self.cut:
                raise ConnectionLostError("lost in the cut")
        if environ.get("HTTP_TARGET_INSTANCE") != self.worker_id:
            return 421, {}
        path = environ["PATH_INFO"]
        late_s = self.filters(path, body)
        if late_s is not None:
            self.fleet.note(
                f"worker {self.worker_id}: {path} {body.get('task')} run "
                f"{body.get('run')} gets no answer, carried out {late_s} s later"
            )
            gevent.spawn_later(late_s, self._carry_out, path, body, late_s)
            gevent.sleep(30)
            raise ConnectionLostError("no answer")
        if born != self.born:
            raise ConnectionLostError("the worker has crashed")
        return self._carry_out(path, body)

    def _carry_out(self, path, body, late_s=0):
        if self.down:
            return 503, {}
        token = body.get("fencingToken", 0)
        if token < self.token:
            status, answer = 409, {"reason": "fence"}
        else:
            self.token = token
            status, answer = {
                "/run-start": self._start,
                "/run-stop": self._stop,
                "/hold": self._hold,
                "/pace": lambda _body: (200, {}),
            }[path](body)
        if path in ("/run-start", "/run-stop"):
            reason = answer.get("reason", "")
            self.fleet.note(
                f"worker {self.worker_id}: {path} {body['task']} run {body['run']} "
                f"token {token} -> {status} {reason}" + (" (late)" if late_s else "")
            )
        return status, {"clockMs": self.clock_ms, "born": self.born, **answer}

    def _extend(self, deadline_ms):
        most = self.clock_ms + PARAMETERS["maxHoldMs"]
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))

    def _start(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, {}
        if body["run"] <= self.refused.get(body["task"], 0):
            self._extend(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(body["deadlineMs"])
        run = Run(body["task"], body["run"], body["spec"])
        self.runs[key] = run
        self.fleet.run_begun(self, run)
        return 200, {}

    def _stop(self, body):
        run = self.runs.get((body["task"], body["run"]))
        if run is None:
            known = self.refused.get(body["task"], 0)
            self.refused[body["task"]] = max(known, body["run"])
        elif run.stop_at_s == float("inf"):
            run.stop_at_s = time.monotonic() + self.fleet.stop_s
        return 200, {}

    def _hold(self, body):
        if body.get("deadlineMs"):
            self._extend(body["deadlineMs"])
        upto = body.get("ackedUpto", 0)
        for row in self.ends:
            if row[0] <= upto:
                self.fleet.end_noted(self, row)
        self.ends = [row for row in self.ends if row[0] > upto]
        if body.get("waitMs") and not self.ends:
            self.changed.clear()
            self.changed.wait(body["waitMs"] / 1000.0)
        rows = [[run.task, run.number, "", 100, 0] for run in self.runs.values()]
        return 200, {"numRunning": rows, "ended": self.ends[:500]}


class Cloud:
    """The provider's interface to machines, with fences for each machine.

    Attributes:
        machines: The machines, by name.
        filters: As that of a worker.
        answer_s: How long each answer takes, seconds.
        lists: Number of times that the list of machines was read.
        upkeeps: Begin and end of each upkeep: machine, wave, monotonic seconds.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.machines = {}
        self.tokens = {}
        self.upkept = set()
        self.upkeeps = []
        self.orders = []
        self.filters = lambda path, body: None
        self.answer_s = 0.0
        self.lists = 0
        self.fenced = fleet.parameters.get("requireFence", True)
        self.server = Server(fleet.ip(), self._handle)

    def add(self, worker):
        """Add the machine of a worker."""
        self.machines[worker.machine] = {"worker": worker, "state": "up"}

    def _row(self, name):
        item = self.machines[name]
        worker = item["worker"]
        return {
            "machine": name,
            "pool": worker.pool,
            "state": item["state"],
            "zone": worker.zone,
            "labels": worker.labels,
            "capacity": worker.capacity,
            "id": worker.worker_id if item["state"] == "up" else "",
        }

    def _handle(self, environ, body):
        path = environ["PATH_INFO"]
        if path == "/machines":
            rows = [self._row(name) for name in self.machines]
            self.lists += 1
            gevent.sleep(self.answer_s)
            return 200, {"machines": rows, "nextToken": None}
        token = int(environ["HTTP_FENCING_TOKEN"])
        holder = environ["HTTP_LEASE_HOLDER"]
        late_s = self.filters(path, body)
        if late_s is not None:
            self.fleet.note(
                f"cloud: {path} {body} of {holder} (token {token}) gets no answer, "
                f"carried out {late_s} s later"
            )
            gevent.spawn_later(late_s, self._order, path, body, holder, token, True)
            gevent.sleep(30)
            raise ConnectionLostError("no answer")
        answer = self._order(path, body, holder, token, False)
        gevent.sleep(self.answer_s)
        return answer

    def _order(self, path, body, holder, token, late):
        status, answer = self._decide(path, body, holder, token)
        self.fleet.note(
            f"cloud: {path} {body} of {holder} (token {token}) -> {status} "
            f"{answer.get('reason', '')}" + (" (late)" if late else "")
        )
        return status, answer

    def _decide(self, path, body, holder, token):
        name = body["machine"]
        if name not in self.machines:
            return 400, {}
        if self.fenced and token < self.tokens.get(name, 0):
            return 409, {"reason": "fence"}
        self.tokens[name] = max(token, self.tokens.get(name, 0))
        self.orders.append((time.monotonic(), name, holder, token))
        item = self.machines[name]
        worker = item["worker"]
        if path == "/machine-upkeep":
            if (name, body["wave"]) in self.upkept:
                return 200, {}
            if item["state"] != "up":
                return 409, {"reason": "busy"}
            self.upkept.add((name, body["wave"]))
            seconds = PARAMETERS["maintenanceS"]
            item["state"] = "upkeep"
            begun_s = time.monotonic()
            self.upkeeps.append((name, body["wave"], begun_s, begun_s + seconds))
        else:
            if worker.pool == body["pool"]:
                return 200, {}
            if item["state"] != "up":
                return 409, {"reason": "busy"}
            seconds = PARAMETERS["migrateS"]
            item["state"] = "moving"
        worker.crash()
        worker.remove()
        gevent.spawn_later(seconds, self._up, name, body.get("pool"))
        return 200, {}

    def _up(self, name, pool):
        item = self.machines[name]
        worker = item["worker"]
        worker.pool = pool or worker.pool
        worker.worker_id += "x"
        item["state"] = "up"
        worker.start_again()


class Instance:
    """One instance, as a separate process."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"front-{number}"
        self.ip = fleet.ip()
        self.front = f"{self.ip}:8340"
        self.ready = f"{self.ip}:8343"
        self.process = None
        self.links = {"store": Link(fleet.ip(), fleet.store.address)}
        if fleet.cloud is not None:
            self.links["cloud"] = Link(fleet.ip(), fleet.cloud.server.address)
        self.log = fleet.folder / f"{self.name}.log"

    def start(self):
        """Start the process with the command of the deploy file."""
        settings = {
            "nodeName": self.name,
            "role": "instance",
            "machineClass": "front",
            "servedRoles": ["front"],
            "ip": self.ip,
            "zone": "z1",
            "region": "r",
            "zones": {"z1": "r"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [7000, 7015],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryMode": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "parameters": {**PARAMETERS, **self.fleet.parameters},
            "commands": "rpc",
            "platform": {
                "address": self.links["store"].address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "retentionS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }
        if self.fleet.cloud is not None:
            settings["cloudApi"] = {
                "address": self.links["cloud"].address,
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            }
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment = {
            **kept,
            "LANG": "C.UTF-8",
            "HEATHERHATCH_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/instance.py", "--metrics", str(METRICS_PORT)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def cut(self, seconds):
        """Cut the instance off from the store and from the cloud for a while."""
        self.fleet.note(f"{self.name} is cut off for {seconds} s")
        for link in self.links.values():
            link.cut = True
        gevent.spawn_later(seconds, self._end_cut)

    def _end_cut(self):
        self.fleet.note(f"{self.name} is no longer cut off")
        for link in self.links.values():
            link.cut = False

    def kill(self):
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def events(self):
        """Return the lines of the log."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"raw": line})
        return lines


class Fleet:
    """A context with the stand-ins and the instances of one case."""

    def __init__(self, folder, instances=2, cloud=False, stop_s=0.3, parameters=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="heatherhatch-review-"))
        self.record = (Path(folder) / "record.txt").open("w")
        self.begun_s = time.monotonic()
        self.base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.last_ip = 1
        self.stop_s = stop_s
        self.parameters = parameters or {}
        self.store = StandinStore()
        self.cloud = Cloud(self) if cloud else None
        self.workers = []
        self.jobs = {}
        self.running = {}
        self.starts = []
        self.noted = []
        self.on_start = []
        self.version = 0
        self.instances = [Instance(self, number) for number in range(instances)]
        gevent.signal_handler(signal.SIGTERM, self._abort)
        self.note(f"TROUBLE={int(self.trouble)}")

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
            for link in instance.links.values():
                link.stop()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _abort(self):
        """End all processes and exit; the time of the case is over."""
        self.note("the time of the case is over")
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
        os._exit(NOT_RUN)

    def ip(self):
        """Return an unused loopback address."""
        self.last_ip += 1
        return f"{self.base}.{self.last_ip}"

    def now(self):
        """Return the time since the begin of the case, seconds."""
        return time.monotonic() - self.begun_s

    def note(self, text):
        """Write a line of the record."""
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def add_worker(self, *args, **options):
        """Add a worker, and its machine if there is a cloud."""
        worker = Worker(self, *args, **options)
        self.workers.append(worker)
        if self.cloud is not None:
            self.cloud.add(worker)
        return worker

    def configure(self, routes, services, tenants):
        """Write the next version of the configuration."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": tenants,
            "limits": {},
        }
        self.store.put("op/config", json.dumps(body).encode())
        self.note(f"operator: configuration {self.version} acknowledged")

    def start(self, timeout_s=20.0):
        """Start the instances; exit with 2 if they are not ready in time."""
        for instance in self.instances:
            instance.start()
        with gevent.Timeout(timeout_s, NotRunError("the instances are not ready")):
            for instance in self.instances:
                while self.http(instance.ready, "GET", "/ready")[0] != 200:
                    gevent.sleep(0.1)
        self.note("instances are ready")

    def holder(self, role):
        """Return the instance that holds a role by its claim in the store."""
        entry = self.store.memory.get(f"claims/{role}")
        name = entry.value.decode().partition("/")[0] if entry else ""
        return next((item for item in self.instances if item.name == name), None)

    def await_holder(self, role, other_than=None, timeout_s=20.0):
        """Wait until a role is held by another instance, and return that."""
        with gevent.Timeout(timeout_s, NotRunError(f"nobody holds {role}")):
            while True:
                found = self.holder(role)
                if found is not None and found is not other_than:
                    return found
                gevent.sleep(0.05)

    def http(self, address, method, path, body=None, headers=(), timeout_s=3.0):
        """Send one request; return status and body, 0 without an answer."""
        host, _, port = address.rpartition(":")
        data = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        names = {name.lower() for name, _value in headers}
        if "host" not in names:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in headers]
        if data or method == "POST":
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(data)}")
        text = ("\r\n".join(lines) + "\r\n\r\n").encode() + data
        received = b""
        try:
            with gevent.Timeout(timeout_s, TimeoutError()):
                sock = socket.create_connection((host, int(port)))
                try:
                    sock.sendall(text)
                    while block := sock.recv(65536):
                        received += block
                finally:
                    sock.close()
        except OSError:
            return 0, {}
        head, _, rest = received.partition(b"\r\n\r\n")
        if not head:
            return 0, {}
        try:
            return int(head.split()[1]), json.loads(rest or b"{}")
        except ValueError:
            return int(head.split()[1]), {}

    def call(self, instance, method, path, body=None, key="key-1", quiet=False):
        """Send a request as a client of a queue; write it into the record."""
        headers = (
            ("Host", "shop.example"),
            ("Api-Key", key),
            ("Deadline-Ms", "3000"),
        )
        status, answer = self.http(
            instance.front, method, path, body, headers, timeout_s=3.2
        )
        if not quiet:
            text = f" {json.dumps(body)}" if body is not None else ""
            shown = json.dumps(answer)[:200]
            self.note(f"{instance.name}: {method} {path}{text} -> {status} {shown}")
        return status, answer

    def submit(
        self, queue, steps, spec, tenant="t1", key="key-1", instance=None, **more
    ):
        """Submit a job until it is accepted; return its id."""
        job_id = f"{random.getrandbits(64):016x}"
        self.jobs[job_id] = {"tenant": tenant, "steps": steps, "queue": queue}
        body = {"spec": spec, "steps": steps, **more}
        for attempt in range(10):
            target = instance or self.instances[attempt % len(self.instances)]
            if target.process.poll() is None:
                status, _ = self.call(target, "POST", f"/{queue}/{job_id}", body, key)
                if status == 200:
                    self.jobs[job_id]["accepted_s"] = self.now()
                    return job_id
            gevent.sleep(0.3)
        raise NotRunError(f"job {job_id} was not accepted")

    def state(self, queue, job_id, instance=None, key="key-1", quiet=True):
        """Return the state of a job; empty if it is not known now."""
        for target in [instance] if instance else self.instances:
            if target.process.poll() is not None:
                continue
            status, answer = self.call(
                target, "GET", f"/{queue}/{job_id}", None, key, quiet
            )
            if status:
                return answer.get("state", str(status))
        return ""

    def step_of(self, task):
        """Return job and step of a task by its name."""
        job_id, _k, step, _index = task.rsplit(".", 3)
        job = self.jobs.get(job_id)
        return job_id, job, job["steps"][int(step)] if job else None

    def run_begun(self, worker, run):
        """Record a start."""
        self.note(f"worker {worker.worker_id}: {run.task} run {run.number} begins")
        self.starts.append((self.now(), worker.worker_id, run.task, run.number))
        for check in self.on_start:
            check(worker, run)
        self.running[worker, run.task, run.number] = run

    def run_gone(self, worker, run, how):
        """Record an end."""
        self.note(f"worker {worker.worker_id}: {run.task} run {run.number} ends: {how}")
        self.running.pop((worker, run.task, run.number), None)

    def end_noted(self, worker, row):
        """Record that an end was taken note of."""
        self.noted.append((self.now(), worker.worker_id, *row[1:4]))

    def used_cpu(self, tenant):
        """Return what a tenant has running on all workers, thousandths of a core."""
        total = 0
        for _worker, task, _number in self.running:
            _id, job, step = self.step_of(task)
            if job is not None and job["tenant"] == tenant:
                total += step["cpu"]
        return total

    def wait_for(self, what, condition, timeout_s):
        """Wait for a condition; raise NotRunError if it does not come true."""
        with gevent.Timeout(timeout_s, NotRunError(f"it did not happen: {what}")):
            while not condition():
                gevent.sleep(0.02)


class NotRunError(Exception):
    """The case could not run."""


def route(name, pool, **more):
    """Return a route whose prefix is its name."""
    row = {
        "name": f"r-{name}",
        "host": "shop.example",
        "prefix": f"/{name}/",
        "service": pool,
        "attempts": 3,
        "priority": 0,
        "stretch": 1.6,
        "targetLatencyMs": 600,
        "timeoutMs": 3000,
        "public": False,
    }
    return {**row, **more}


def tenant(name="t1", keys=("key-1",), **maximum):
    """Return a tenant, with a maximum if one is given."""
    row = {"name": name, "apiKeys": list(keys), "weight": 1}
    return {**row, "maximum": maximum} if maximum else row


def main(play):
    """Run a case; exit with 1 if its rule was broken, 0 if it held, 2 if it didn't run.

    Args:
        play: Function that returns the lines that say how the rule was broken.
    """
    try:
        broken = play()
    except Exception as error:
        traceback.print_exc()
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
