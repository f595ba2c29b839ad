"""Small stand-ins of the platform for the scripts of the review.

Only the standard library is used. Each class follows PROTOCOL.md; what the page
leaves open is done as a sound store, worker or client does it.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
EXPIRED_AFTER_S = 4.5  # three heartbeats
PARAMETERS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaExcess": 0.1,
    "quotaSlack": 20,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointS": 2,
    "restoreMs": 250,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "requireFence": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
HOST_NAME = "jobs.example"
KEY = "key-of-team-1"


class Record:
    """The record of one case: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, text):
        """Write one line with the time."""
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    """An HTTP/1.1 server that knows its connections, so that it can cut them."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, handle, port=0):
        self.connections = set()
        self.handle_call = handle
        super().__init__((HOST, port), Handler)
        self.thread = threading.Thread(target=self.serve_forever, args=(0.05,))
        self.thread.daemon = True
        self.thread.start()

    @property
    def own_address(self):
        """The address that callers use."""
        return f"{HOST}:{self.server_address[1]}"

    def get_request(self):
        sock, address = super().get_request()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        return sock, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that the peer has closed."""

    def end(self):
        """Stop listening and close all connections, as the end of a process does."""
        self.shutdown()
        self.server_close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Handler(BaseHTTPRequestHandler):
    """Reads one call, lets the server handle it and writes the answer."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_args):
        """Write no log."""

    def _serve(self):
        threading.current_thread().caller = self.connection
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length) if length else b""
        body = json.loads(data) if data else {}
        status, answer = self.server.handle_call(
            self.command, self.path, self.headers, body
        )
        if status is None:
            self.close_connection = True
            return
        content = json.dumps(answer).encode()
        head = (
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + content)

    do_GET = do_POST = do_DELETE = _serve


class Store:
    """The platform's metadata store: linearizable, with leases and watches."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.server = Server(self._handle)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value):
        """Write a key as the operator or a worker does."""
        with self.changed:
            self.revision += 1
            self._write(key, json.dumps(value).encode(), 0)
            self.changed.notify_all()

    def remove(self, key):
        """Delete a key as the platform does."""
        with self.changed:
            if key in self.items:
                self.revision += 1
                self._delete(key)
                self.changed.notify_all()

    def keys(self, prefix):
        """Return the keys under a prefix."""
        with self.changed:
            return sorted(key for key in self.items if key.startswith(prefix))

    def holder(self, key):
        """Return the value of a claim, which names its holder."""
        with self.changed:
            item = self.items.get(key)
        return item["value"].decode() if item else ""

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key):
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def _expire(self):
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            with self.changed:
                ended = [i for i, (_t, until) in self.leases.items() if until <= now]
                for lease in ended:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self.changed.notify_all()

    @staticmethod
    def _shown(item):
        if "tombstone" in item:
            return item
        return {**item, "value": base64.b64encode(item["value"]).decode()}

    def _handle(self, method, target, _headers, body):
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        path = parts.path
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**self._shown(item), "storeRevision": self.revision}
            if path == "/kv-range":
                return self._range(query)
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-txn":
                return self._transact(body)
            if path == "/kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                ttl_s = body["ttlMs"] / 1000
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            if path.startswith("/kv-keep/"):
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"ttlMs": int(ttl_s * 1000)}
            self._end_lease(lease)
            return 200, {}

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        page = [self._shown(self.items[key]) for key in keys[:500]]
        return 200, {
            "items": page,
            "hasMore": len(keys) > 500,
            "storeRevision": self.revision,
        }

    def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = []
            for item in reversed(self.history):
                if item["revision"] <= after:
                    break
                if item["key"].startswith(query["prefix"]):
                    events.append(self._shown(item))
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events[::-1],
                    "storeRevision": self.revision,
                }
            self.changed.wait(left_s)

    def _transact(self, body):
        expect = body.get("expect", [])
        for row in expect:
            found = self.items.get(row["key"])
            if (found["revision"] if found else 0) != row["revision"]:
                items = [
                    self._shown(self.items[row["key"]])
                    if row["key"] in self.items
                    else {"key": row["key"], "revision": 0}
                    for row in expect
                ]
                return 412, {"items": items}
        rows = body.get("setKeys", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in rows):
            return 404, {}
        removed = [key for key in body.get("remove", []) if key in self.items]
        if not rows and not removed:
            return 200, {"revision": self.revision}
        self.revision += 1
        for row in rows:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            value = base64.b64decode(row["value"])
            self._write(row["key"], value, row.get("lease", 0))
            if row["key"].startswith("status-of-jobs/"):
                self.record.note(f"store: {row['key']} = {value.decode()}")
        for key in removed:
            self._delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


class Worker:
    """One machine and its present worker.

    The spec of a task is ``run SECONDS``: it ends ``done`` after so much time. A busy
    worker is unhealthy: it answers 503 to each start and does nothing for it.
    """

    def __init__(self, name, pool, store, record, cores=8, rack="r1"):
        self.name = name
        self.pool = pool
        self.store = store
        self.record = record
        self.cores = cores
        self.rack = rack
        self.id = f"i-{name}"
        self.lock = threading.Condition()
        self.runs = {}
        self.starts = []
        self.stops = []
        self.endings = []
        self.up = False
        self.gone = False
        self.is_busy = False
        self.silent_since = time.monotonic()
        self.port = 0
        self.begin()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._work, daemon=True).start()

    def begin(self):
        """Start a worker on the machine: it holds and knows nothing of before."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.token = 0
            self.deadline_ms = 0
            self.sequence = 0
            self.beats = 0
            self.runs = {}
            self.ends = []
            self.refused = {}
            self.server = Server(self._handle, self.port)
            self.port = self.server.server_address[1]
            self.up = True
        self._register()

    def crash(self, for_s=None):
        """Lose all runs and answer nothing; return after some time, or never."""
        with self.lock:
            lost = sorted(self.runs)
            self.up = False
            self.runs = {}
            self.silent_since = time.monotonic()
            self.gone = for_s is None
        self.record.note(f"worker {self.id} crashes; lost with it: {lost}")
        self.server.end()
        if for_s is not None:
            time.sleep(for_s)
            self.begin()
            self.record.note(f"worker {self.id} is up again, born {self.born}")

    @property
    def clock_ms(self):
        """The worker's own clock."""
        return int((time.monotonic() - self.started) * 1000)

    def _register(self):
        with self.lock:
            if not self.up:
                return
            self.beats += 1
            entry = {
                "service": self.pool,
                "address": f"{HOST}:{self.port}",
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cores * 1000, "memMb": 65536, "gpu": 0},
                "labels": ["a", self.rack],
                "clockMs": self.clock_ms,
                "sequence": self.beats,
                "machine": f"m-{self.name}",
                "born": self.born,
            }
        self.store.put(f"servers/{self.id}", entry)

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_S / 5)
            now = time.monotonic()
            if self.up:
                if now - getattr(self, "beat_at", 0) >= HEARTBEAT_S:
                    self.beat_at = now
                    self._register()
            elif now - self.silent_since > EXPIRED_AFTER_S:
                self.store.remove(f"servers/{self.id}")

    def _work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.up:
                    continue
                lapsed = self.clock_ms >= self.deadline_ms
                for key, until in list(self.runs.items()):
                    if lapsed:
                        self._end(key, "lapsed")
                    elif time.monotonic() >= until:
                        self._end(key, "done")

    def _end(self, key, how):
        task, run = key
        del self.runs[key]
        self.refused[task] = max(self.refused.get(task, 0), run)
        self.sequence += 1
        self.ends.append([self.sequence, task, run, how, ""])
        self.endings.append((task, run, how))
        self.record.note(f"worker {self.id}: {task} run {run} ends {how}")
        self.lock.notify_all()

    def _handle(self, _method, target, headers, body):
        if target == "/health":
            return 200, {}
        with self.lock:
            if not self.up:
                return None, {}
            if headers.get("Target-Instance") != self.id:
                return 421, {}
            token = body.get("fencingToken", 0)
            if token < self.token:
                return 409, {"clockMs": self.clock_ms, "reason": "fence"}
            self.token = token
            status, answer = {
                "/run-start": self._start,
                "/run-stop": self._stop,
                "/hold": self._hold,
                "/pace": self._pace,
            }[target](body)
            return status, {"clockMs": self.clock_ms, "born": self.born, **answer}

    def _start(self, body):
        task, run = body["task"], body["run"]
        if self.is_busy:
            self.record.note(f"worker {self.id} answers 503 to the start of {task}")
            return 503, {}
        if (task, run) in self.runs:
            return 200, {}
        if run <= self.refused.get(task, 0):
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(body)
        seconds = float(body["spec"].split()[1])
        self.runs[task, run] = time.monotonic() + seconds
        self.starts.append((self.record.now(), task, run))
        self.record.note(f"worker {self.id} starts {task} run {run}")
        return 200, {}

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self.refused[task] = max(self.refused.get(task, 0), run)
        if (task, run) in self.runs:
            self.stops.append((self.record.now(), task, run))
            self._end((task, run), "stopped")
        return 200, {}

    def _pace(self, _body):
        return 200, {}

    def _extend(self, body):
        most = self.clock_ms + PARAMETERS["maxHoldMs"]
        wanted = min(body.get("deadlineMs", 0), most)
        self.deadline_ms = max(self.deadline_ms, wanted)

    def _hold(self, body):
        self._extend(body)
        self.ends = [end for end in self.ends if end[0] > body["ackedUpto"]]
        if not self.ends and body.get("waitMs"):
            server = self.server
            until = time.monotonic() + body["waitMs"] / 1000
            while not self.ends and (left_s := until - time.monotonic()) > 0:
                self.lock.wait(left_s)
                if not self.up or server is not self.server:
                    raise ConnectionError
        rows = [[task, run, "", 100, 1000] for task, run in self.runs]
        return 200, {"numRunning": rows, "ended": self.ends[:500]}


class Cloud:
    """The provider's interface: lists the machines and finds them always busy."""

    def __init__(self, workers):
        self.workers = workers
        self.server = Server(self._handle)

    def _handle(self, method, _target, _headers, _body):
        if method != "GET":
            return 409, {"reason": "busy"}
        rows = [
            {
                "machine": f"m-{item.name}",
                "pool": item.pool,
                "state": "up" if item.up else "down",
                "zone": "z1",
                "labels": ["a", item.rack],
                "capacity": {"cpu": item.cores * 1000, "memMb": 65536, "gpu": 0},
                "id": item.id,
            }
            for item in self.workers
            if not item.gone
        ]
        return 200, {"machines": rows, "nextToken": None}


def caller_has_left():
    """Return whether the caller of the present call has closed its connection."""
    sock = threading.current_thread().caller
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class Advice:
    """The policy service as one calling machine meets it: one call at a time, in turn.

    It lets every worker run every step, and drops a call whose caller has left before
    its turn.
    """

    def __init__(self, record, rules):
        self.record = record
        self.rules = rules
        self.turn = threading.Condition()
        self.waiting = []
        self.answered = 0
        self.server = Server(self._handle)

    def _handle(self, _method, _target, _headers, body):
        ticket = object()
        with self.turn:
            if len(self.waiting) >= 32:
                return 429, {}
            self.waiting.append(ticket)
            while self.waiting[0] is not ticket:
                self.turn.wait()
        if caller_has_left():
            with self.turn:
                self.waiting.remove(ticket)
                self.turn.notify_all()
            return None, {}
        count = len(body["workers"])
        time.sleep((self.rules["decisionMs"] + count * self.rules["eachMs"]) / 1000)
        with self.turn:
            self.waiting.remove(ticket)
            self.answered += 1
            self.turn.notify_all()
        self.record.note(f"advice on {body['step']} about {count} workers")
        good = [[worker, f"t-{body['step']}-{worker}"] for worker in body["workers"]]
        return 200, {"good": good, "validityMs": self.rules["validityMs"]}


class Link:
    """A proxy on one machine's way to the store, which can be cut.

    While it is cut nothing passes. What had been sent on connections that were open
    before is delivered when the cut heals, as TCP does, also if the sender has closed
    them meanwhile; connections that were begun during the cut come to nothing.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Cut the machine off."""
        self.open.clear()

    def heal(self):
        """End the cut."""
        self.open.set()

    def _accept(self):
        while True:
            client, _address = self.listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        if not self.open.is_set():
            self.open.wait()
            client.close()
            return
        try:
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pump, args=(server, client), daemon=True).start()
        self._pump(client, server)

    def _pump(self, source, sink):
        try:
            while data := source.recv(65536):
                self.open.wait()
                sink.sendall(data)
        except OSError:
            pass
        self.open.wait()
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def free_port():
    """Return a free port below those that the kernel gives to outgoing connections."""
    for _try in range(200):
        port = random.randrange(20_000, 32_000)
        try:
            with socket.create_server((HOST, port)):
                return port
        except OSError:
            continue
    raise RuntimeError("no free port was found")


class Instance:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, store_address, cloud_address, folder, record, advice=""):
        self.name = name
        self.record = record
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.metrics = free_port()
        self.log = Path(folder) / f"{name}.log"
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(
            json.dumps(
                {
                    "nodeName": name,
                    "role": "instance",
                    "machineClass": "front",
                    "servedRoles": ["front"],
                    "ip": HOST,
                    "zone": "z1",
                    "region": "r",
                    "zones": {"z1": "r"},
                    "listen": {"front": self.front, "ready": self.ready},
                    "portRange": [7000, 7015],
                    "seeds": [],
                    "bootstrap": True,
                    "inTolerance": False,
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
                    "parameters": PARAMETERS,
                    "commands": "rpc",
                    "advice": advice or None,
                    "platform": {
                        "address": store_address,
                        "form": "kv",
                        "writesPerS": 400,
                        "readsPerS": 2000,
                        "retentionS": 20,
                        "valueBytes": 1048576,
                        "minTtlMs": 1000,
                    },
                    "cloudApi": {
                        "address": cloud_address,
                        "ratePerS": 64.0,
                        "duties": [],
                        "dutyPerS": 64.0,
                    },
                }
            )
        )
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["HEATHERHATCH_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "platform/instance.py",
                    "--metrics",
                    str(self.metrics),
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"instance {self.name} starts, process {self.process.pid}")

    def is_ready(self):
        """Return whether the instance takes requests, as the platform asks."""
        try:
            host, _, port = self.front.rpartition(":")
            socket.create_connection((host, int(port)), 1).close()
            return call(self.ready, "GET", "/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def call(address, method, path, body=None, headers=None, timeout=5):
    """Send one request on a new connection; return the status and the body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if body is not None else None
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


class Deployment:
    """A store, workers, a provider and some instances on loopback addresses."""

    def __init__(
        self, folder, pools, instances=3, cut_from_store=(), advice_rules=None
    ):
        self.record = Record(folder)
        self.advice_rules = advice_rules
        self.advice = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.workers = [
            Worker(f"{pool}-{n}", pool, self.store, self.record)
            for pool, count in pools.items()
            for n in range(count)
        ]
        self.cloud = Cloud(self.workers)
        self.links = {}
        self.instances = []
        for number in range(instances):
            address = self.store.server.own_address
            if number in cut_from_store:
                self.links[number] = Link(address)
                address = self.links[number].address
            advice_address = ""
            if advice_rules:
                self.advice.append(Advice(self.record, advice_rules))
                advice_address = self.advice[-1].server.own_address
            self.instances.append(
                Instance(
                    f"n{number}",
                    address,
                    self.cloud.server.own_address,
                    self.folder,
                    self.record,
                    advice_address,
                )
            )

    def configure(self, version, routes, services):
        """Write a version of the configuration, as the operator does."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "host": HOST_NAME,
                    "prefix": f"/{name}/",
                    "kind": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 600,
                    "priority": 0,
                    "service": service,
                    "attempts": 4,
                    "stretch": 1.6,
                    "public": False,
                    **({"advice": self.advice_rules} if self.advice_rules else {}),
                }
                for name, service in routes.items()
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": False,
                    "standby": False,
                }
                for name in services
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {
                    "name": "team-1",
                    "apiKeys": [KEY],
                    "priority": 1,
                    "weight": 18,
                    "maximum": {"cpu": 0, "memMb": 0, "gpu": 0},
                }
            ],
        }
        self.store.put("op/config", body)
        self.record.note(f"operator: version {version}, routes {routes}")

    def start(self, within_s=20):
        """Start the instances and wait until they are ready and hold the roles."""
        for instance in self.instances:
            instance.start()
        until = time.monotonic() + within_s
        while not all(instance.is_ready() for instance in self.instances):
            if time.monotonic() > until:
                raise RuntimeError("the instances are not ready")
            time.sleep(0.1)
        time.sleep(2)
        self.record.note(f"ready; claims: {self.store.keys('claims/')}")

    def request(self, number, method, path, body=None, deadline_ms=3000):
        """Send a client's request to one instance; return the status and the body."""
        headers = {
            "Host": HOST_NAME,
            "Api-Key": KEY,
            "Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        }
        name = self.instances[number].name
        sent = self.record.now()
        try:
            status, answer = call(
                self.instances[number].front,
                method,
                path,
                body,
                headers,
                deadline_ms / 1000,
            )
        except (OSError, http.client.HTTPException) as error:
            status, answer = 0, repr(error)
        self.record.note(
            f"client to {name}: {method} {path} sent at {sent:.3f}: {status} {answer}"
        )
        return status, answer

    def state(self, number, path):
        """Return the state of a job as one instance answers; empty if it does not."""
        status, answer = self.request(number, "GET", path)
        return json.loads(answer).get("state", "") if status == 200 else ""

    def starts(self, job):
        """Return the starts of a job's tasks: time, task, run, worker."""
        return sorted(
            (at, task, run, worker.id)
            for worker in self.workers
            for at, task, run in worker.starts
            if task.startswith(job + ".")
        )

    def running_on(self, job):
        """Return the workers on which a task of a job runs."""
        return [
            worker
            for worker in self.workers
            if worker.up
            and any(task.startswith(job + ".") for task, _run in list(worker.runs))
        ]

    def close(self):
        """End all processes and keep the instances' logs out of the repository."""
        for instance in self.instances:
            instance.stop()
        self.record.note("all processes have ended")
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 without result.

    Args:
        folder: Folder of the case.
        play: Plays the case; returns why the rule was broken, or an empty text.
    """

    def end_early(*_args):
        raise RuntimeError("the case was ended before it had a result")

    signal.signal(signal.SIGTERM, end_early)
    closers = []
    code = 2
    try:
        broken = play(Path(folder), closers)
        code = 1 if broken else 0
        closers[0].record.note(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "held")
    except Exception as error:  # the case could not run
        print(f"no result: {error!r}")
        if closers:
            closers[0].record.note(f"no result: {error!r}")
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for closer in closers:
            closer.close()
    sys.stdout.flush()
    os._exit(code)
