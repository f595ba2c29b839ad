"""Small stand-ins of the platform for the cases 6 to 10, with the standard library only.

The store, the provider's interface to machines, the policy service and the workers
follow PROTOCOL.md. They run in one process on one event loop. The instances are separate
processes, started with the commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
API_KEY = "key-1"
METRICS_PORT = 9464
HEARTBEAT_S = 1.5  # heartbeatMs of the example of DEPLOY.md
PAGE_ITEMS = 500
NO_ANSWER = object()

# The parameters of the sheet of ciosg-hatch.
PARAMETERS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "quotaWindowS": 5, "quotaExcess": 0.1,
    "quotaSlack": 20, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "remoteFactor": 2, "checkpointS": 2,
    "restoreMs": 100, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
    "requireFence": True, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100,
    "harmMs": 4000,
}  # fmt: skip


class Record:
    """The log of a case: what was sent, answered and run."""

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.begun_s = time.monotonic()

    def now_s(self) -> float:
        """Return seconds since the start of the case."""
        return time.monotonic() - self.begun_s

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """An HTTP/1.1 server for JSON; it can stop and start again on the same port.

    Args:
        handle: Coroutine function of method, path, query, body and headers; returns
            status and body, or NO_ANSWER to leave the call without an answer.
    """

    def __init__(self, handle, host="127.0.0.1"):
        self.handle = handle
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self) -> str:
        """Address of the server."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _version = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.lower()] = value.strip()
        data = await reader.readexactly(int(headers.get("content-length", 0)))
        path, _mark, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(data) if data else {}
        answer = await self.handle(method, path, fields, body, headers)
        if answer is NO_ANSWER:
            await reader.read()
            return False
        status, result = answer
        text = json.dumps(result).encode()
        writer.write(
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        )
        await writer.drain()
        return True


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.http = HttpServer(self._handle)

    async def start(self) -> None:
        """Start to serve."""
        await self.http.start()
        asyncio.get_running_loop().create_task(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as an operator or a worker does."""
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def put_json(self, key: str, value: object) -> None:
        """Write a key as JSON."""
        self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)
            self._wake()

    def get_json(self, key: str):
        """Return the value of a key, None if there is none."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def holder(self, role: str) -> str:
        """Return the name of the instance that has the claim on a role."""
        item = self.items.get(f"claims/{role}")
        value = base64.b64decode(item["value"]).decode() if item else ""
        return value.partition("/")[0]

    def _set(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key, "value": value, "revision": self.revision,
            "created": created, "lease": lease,
        }  # fmt: skip
        self.items[key] = item
        self.history.append(item)

    def _drop(self, key: str) -> None:
        del self.items[key]
        self.history.append(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_ttl_s, until_s) in list(self.leases.items()):
                if now >= until_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, method, path, query, body, _headers):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if path == "/kv-range":
            keys = sorted(
                key for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )  # fmt: skip
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {
                "items": items, "hasMore": len(keys) > PAGE_ITEMS,
                "storeRevision": self.revision,
            }  # fmt: skip
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            ttl_s = max(1.0, body["ttlMs"] / 1000.0)
            lease = random.getrandbits(40)
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        until_s = time.monotonic() + int(query["waitMs"]) / 1000.0
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            events = []
            for item in reversed(self.history):
                if item["revision"] <= after:
                    break
                if item["key"].startswith(prefix):
                    events.append(item)
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events[::-1], "storeRevision": self.revision,
                }  # fmt: skip
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        expect, puts = body.get("expect", []), body.get("setKeys", [])
        removed = body.get("remove", [])
        if len(expect) + len(puts) + len(removed) > 32:
            return 400, {}
        for key in [row["key"] for row in puts] + list(removed):
            if key.startswith(("op/", "servers/")):
                return 403, {}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        found = {row["key"]: self.items.get(row["key"]) for row in expect}
        for row in expect:
            item = found[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in found.values() if item]}
        if puts or removed:
            self.revision += 1
            for row in puts:
                self._set(row["key"], row["value"], row.get("lease", 0))
            for key in removed:
                if key in self.items:
                    self._drop(key)
            self._wake()
        return 200, {"revision": self.revision}


class Worker:
    """One worker: runs tasks under a lease and lists their ends.

    The spec of a job is JSON with the run time of its tasks, `ms`.

    Args:
        world: The case.
        worker_id: Identifier of the worker.
        machine: Name of the machine.
        service: Pool of the worker.
        cores: Capacity.
        labels: Kind and rack.
    """

    def __init__(self, world, worker_id, machine, service, cores=8, labels=("a",)):
        self.world = world
        self.worker_id = worker_id
        self.machine = machine
        self.service = service
        self.cores = cores
        self.labels = list(labels)
        self.http = HttpServer(self._handle)
        self.up = False

    async def start(self) -> None:
        """Start an incarnation: listen, then register in the store."""
        self.born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.deadline_ms = 0
        self.sequence = 0
        self.runs: dict[tuple[str, int], dict] = {}
        self.refused_to: dict[str, int] = {}
        self.ends: list[list] = []
        self.ended = asyncio.Event()
        self.beats = 0
        await self.http.start()
        self.up = True
        self.world.record.write(
            f"worker {self.worker_id} of {self.service} up at {self.http.address}, "
            f"born {self.born_ms}, labels {self.labels}, {self.cores} cores"
        )
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._beat()), loop.create_task(self._watch())]

    def crash(self) -> None:
        """End the process of the worker; its entry stays until it expires."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.http.crash()
        for key in list(self.runs):
            self.world.note_end(self, key, "crash")
        self.runs.clear()
        self.world.record.write(f"worker {self.worker_id} crashed")

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self.born_s) * 1000)

    async def _beat(self) -> None:
        while True:
            self.beats += 1
            self.world.store.put_json(
                f"servers/{self.worker_id}",
                {
                    "service": self.service, "address": self.http.address,
                    "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
                    "coldLeftMs": 0, "sequence": self.beats, "born": self.born_ms,
                    "machine": self.machine, "labels": self.labels,
                    "capacity": {"cpu": self.cores * 1000, "memMb": 64000},
                },
            )  # fmt: skip
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.clock_ms >= self.deadline_ms
            for key, run in list(self.runs.items()):
                if lapsed:
                    self._end(key, "lapsed")
                elif time.monotonic() >= run["until_s"]:
                    self._end(key, "done")

    def _end(self, key, how) -> None:
        del self.runs[key]
        task, run = key
        self.refused_to[task] = max(self.refused_to.get(task, 0), run)
        self.sequence += 1
        self.ends.append([self.sequence, task, run, how, ""])
        self.world.note_end(self, key, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms, "born": self.born_ms, **fields}

    async def _handle(self, _method, path, _query, body, headers):
        if headers.get("target-instance", self.worker_id) != self.worker_id:
            return 421, {}
        if body.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = body.get("fencingToken", 0)
        if path == "/hold":
            return await self._hold(body)
        key = (body["task"], body["run"])
        if path == "/run-stop":
            self.world.record.write(f"stop {key} at {self.worker_id}")
            self.refused_to[key[0]] = max(self.refused_to.get(key[0], 0), key[1])
            if key in self.runs:
                self._end(key, "stopped")
            return self._answer(200)
        if path == "/pace":
            return self._answer(200)
        if path == "/run-start":
            return self._start(body, key)
        return 404, {}

    def _lengthen(self, body) -> None:
        deadline_ms = min(body.get("deadlineMs", 0), self.clock_ms + 10_000)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def _start(self, body, key):
        if key in self.runs:
            return self._answer(200)
        if body["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._lengthen(body)
        if key[1] <= self.refused_to.get(key[0], 0):
            return self._answer(409, reason="old")
        if not self.world.accepts_ticket(self, key[0], body.get("ticket", "")):
            self.world.note_refused(self, key, "ticket")
            return self._answer(409, reason="ticket")
        work_s = json.loads(body["spec"])["ms"] / 1000.0
        self.runs[key] = {"until_s": time.monotonic() + work_s}
        self.world.note_start(self, key, body)
        return self._answer(200)

    async def _hold(self, body):
        self._lengthen(body)
        acked = [end for end in self.ends if end[0] <= body.get("ackedUpto", 0)]
        for _number, task, run, how, _saved in acked:
            self.world.note_acked(self, (task, run), how)
        self.ends = [end for end in self.ends if end not in acked]
        wait_s = min(2.0, body.get("waitMs", 0) / 1000.0)
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except TimeoutError:
                pass
        running = [[task, run, "", 100, 0] for task, run in self.runs]
        return self._answer(200, numRunning=running, ended=self.ends[:500])


class Cloud:
    """The provider's interface to machines.

    Attributes:
        machines: Pool and state of each machine.
        is_late: Tells which upkeep orders get no answer and are carried out later; it
            returns a coroutine that ends when that is due, or None.
    """

    def __init__(self, world, require_fence=True):
        self.world = world
        self.require_fence = require_fence
        self.machines: dict[str, dict] = {}
        self.tokens: dict[str, int] = {}
        self.orders: list[tuple] = []
        self.begun: list[tuple] = []
        self.down: dict[str, int] = {}
        self.done: set[tuple[str, int]] = set()
        self.is_late = lambda order: None
        self.answer_s = 0.0
        self.http = HttpServer(self._handle)

    def add(self, name, pool, cores=8) -> None:
        """Add a machine that is up."""
        self.machines[name] = {
            "machine": name, "pool": pool, "state": "up", "zone": "zone-a",
            "labels": ["a"], "capacity": {"cpu": cores * 1000, "memMb": 64000},
            "id": f"w-{name}",
        }  # fmt: skip
        self.world.record.write(f"machine {name} is up in {pool}")

    async def _handle(self, _method, path, _query, body, headers):
        await asyncio.sleep(self.answer_s)
        if path == "/machines":
            rows = [dict(item) for item in self.machines.values()]
            return 200, {"machines": rows, "nextToken": ""}
        name = body["machine"]
        token = int(headers.get("fencing-token", 0))
        holder = headers.get("lease-holder", "")
        order = (path, name, body.get("wave"), holder, token)
        self.world.record.write(f"order {order} reaches the provider")
        due = self.is_late(order)
        if due is not None:
            self.world.record.write(f"order {order} is not answered; it waits")
            asyncio.get_running_loop().create_task(self._carry_out_late(due, order))
            return NO_ANSWER
        answer = self._carry_out(order)
        self.world.record.write(f"order {order} answered {answer}")
        return answer

    async def _carry_out_late(self, due, order) -> None:
        await due
        answer = self._carry_out(order)
        self.world.record.write(f"late order {order} carried out: {answer}")

    def _carry_out(self, order):
        path, name, wave, _holder, token = order
        if self.require_fence and token < self.tokens.get(name, 0):
            return 409, {"reason": "fence"}
        self.orders.append((self.world.record.now_s(), *order))
        self.tokens[name] = max(self.tokens.get(name, 0), token)
        machine = self.machines.get(name)
        if machine is None:
            return 400, {}
        if path != "/machine-upkeep":
            return 409, {"reason": "busy"}
        if (name, wave) in self.done:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        announced = self.world.store.get_json(f"op/wave/{wave}") or {}
        if name not in announced.get("machines", ()):
            return 409, {"reason": "wave"}
        self.done.add((name, wave))
        self.begun.append((self.world.record.now_s(), name, wave, dict(self.down)))
        self.world.record.write(
            f"upkeep of {name} begins; down for wave {wave} already: "
            f"{[other for other, at in self.down.items() if at == wave]}"
        )
        machine["state"] = "upkeep"
        machine["id"] = None
        self.down[name] = wave
        self.world.end_worker(name)
        asyncio.get_running_loop().create_task(self._return(name))
        return 200, {}

    async def _return(self, name) -> None:
        await asyncio.sleep(PARAMETERS["maintenanceS"])
        machine = self.machines[name]
        del self.down[name]
        self.world.record.write(f"upkeep of {name} has ended")
        machine["id"] = await self.world.begin_worker(name, machine["pool"])
        machine["state"] = "up"


class Policy:
    """The policy service: every worker may run every step."""

    def __init__(self, world, decision_s=0.3, each_s=0.02, validity_s=6.0):
        self.world = world
        self.decision_s, self.each_s, self.validity_s = decision_s, each_s, validity_s
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.http = HttpServer(self._handle)

    async def _handle(self, _method, _path, _query, body, _headers):
        step, workers = body["step"], body["workers"]
        await asyncio.sleep(self.decision_s + self.each_s * len(workers))
        until_s = time.monotonic() + self.validity_s
        good = []
        for worker in workers:
            ticket = f"{random.getrandbits(48):012x}"
            self.tickets[ticket] = (step, worker, until_s)
            good.append([worker, ticket])
        self.world.record.write(f"advice on step {step} for {len(workers)} workers")
        return 200, {"good": good, "validityMs": int(self.validity_s * 1000)}

    def accepts(self, step: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket is valid for a step on a worker now."""
        named, at, until_s = self.tickets.get(ticket, ("", "", 0.0))
        return (named, at) == (step, worker) and time.monotonic() < until_s


class Proxy:
    """The link from one machine to one server; a cut holds the bytes up.

    What is held up arrives after the cut, unless the sender reset the connection.

    Attributes:
        on_data: Called with the first bytes that a machine sends, before they pass.
    """

    def __init__(self, target: str):
        self.host, _colon, port = target.rpartition(":")
        self.target_port = int(port)
        self.open = asyncio.Event()
        self.open.set()
        self.on_data = lambda data: None
        self.port = 0

    @property
    def address(self) -> str:
        """Address that the machine connects to."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            await self.open.wait()
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ended = [
            asyncio.create_task(
                self._pass(reader, far_writer, lambda data: self.on_data(data))
            ),
            asyncio.create_task(self._pass(far_reader, writer, lambda data: None)),
        ]
        try:
            await asyncio.wait(ended)
        except asyncio.CancelledError:
            pass  # the case has ended
        writer.close()
        far_writer.close()

    async def _pass(self, reader, writer, on_data) -> None:
        try:
            while data := await reader.read(65536):
                on_data(data)
                await self.open.wait()
                if reader.exception() is not None:
                    raise reader.exception()  # what was held up is lost by the reset
                writer.write(data)
                await writer.drain()
            await self.open.wait()
            writer.write_eof()
        except OSError:
            # A reset passes too, once the link is there again.
            await self.open.wait()
            writer.transport.abort()


class Instance:
    """One instance of the system, as a process of its own.

    Args:
        world: The case.
        name: Name of the instance.
        ip: Loopback address of the instance.
        store: Address of the store, as this instance reaches it.
        cloud: Address of the provider's interface, as this instance reaches it.
    """

    def __init__(self, world, name, ip, store, cloud, parameters=None):
        self.world, self.name, self.ip = world, name, ip
        ports = free_ports(ip, 3)
        self.entry, ready, control = [f"{ip}:{port}" for port in ports]
        self.settings = world.folder / f"{name}.json"
        self.log = world.folder / f"{name}.log"
        self.process = None
        settings = {
            "nodeName": name, "role": "instance", "machineClass": "front",
            "servedRoles": ["front"], "ip": ip, "zone": "zone-a",
            "region": "region-1", "zones": {"zone-a": "region-1"},
            "listen": {"front": self.entry, "ready": ready, "control": control},
            "portRange": [7000, 7015], "seeds": [], "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entryMode": "vip",
            "heartbeatMs": 1500, "faultTolerance": {"machines": 1, "zones": 0},
            "parameters": {**PARAMETERS, **(parameters or {})},
            "commands": "rpc", "advice": world.policy.http.address,
            "platform": {
                "address": store, "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
            "cloudApi": {
                "address": cloud, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0,
            },
        }  # fmt: skip
        self.settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["HEATHERHATCH_BOOT"] = str(self.settings)
        command = f"python3 platform/instance.py --metrics {METRICS_PORT}"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record.write(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.world.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class World:
    """A deployment with stand-ins, and what was seen of it.

    Attributes:
        starts: Starts that workers began: time, worker, task, run.
        ends: Ends: time, worker, task, run, how.
        acked: Ends that were taken note of: time, worker, task, run, how.
        refused: Starts that workers refused: time, worker, task, run, reason.
    """

    def __init__(self, case: Path, require_fence=True):
        self.folder = Path(tempfile.mkdtemp(prefix="heatherhatch-review-"))
        self.record = Record(case / "record.txt")
        self.store = Store()
        self.cloud = Cloud(self, require_fence)
        self.policy = Policy(self)
        self.workers: list[Worker] = []
        self.instances: list[Instance] = []
        self.ticketed: set[str] = set()
        self.starts: list[tuple] = []
        self.ends: list[tuple] = []
        self.acked: list[tuple] = []
        self.refused: list[tuple] = []
        self.version = 0

    async def start(self) -> None:
        """Start the platform's stand-ins."""
        await self.store.start()
        await self.cloud.http.start()
        await self.policy.http.start()

    def add_instances(self, count, parameters=None, links=()) -> None:
        """Start instances.

        Args:
            count: Number of instances.
            parameters: Parameters of the settings that differ from `PARAMETERS`.
            links: Addresses of the store and of the provider's interface as each
                instance reaches them; by default their own addresses.
        """
        direct = (self.store.http.address, self.cloud.http.address)
        for number, ip in enumerate(free_addresses(count)):
            store, cloud = links[number] if links else direct
            name = f"front-{number + 1}"
            instance = Instance(self, name, ip, store, cloud, parameters)
            self.instances.append(instance)
            instance.start()

    async def wait_until_ready(self, seconds=20.0) -> None:
        """Wait until all instances answer calls, or fail."""
        until_s = time.monotonic() + seconds
        for instance in self.instances:
            while True:
                status, _body = await call(instance, "GET", "/probe/0000000000000000")
                if status in (404, 410):
                    break
                if time.monotonic() > until_s:
                    raise NotRunError(f"{instance.name} does not answer")
                await asyncio.sleep(0.1)
        self.record.write("all instances answer")

    async def wait_for(self, condition, seconds, what) -> None:
        """Wait for a condition of the set-up, or fail."""
        until_s = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until_s:
                raise NotRunError(f"no {what} within {seconds} s")
            await asyncio.sleep(0.02)

    async def begin_worker(self, machine, service, cores=8, labels=("a",)) -> str:
        """Let a machine run a new worker; return its identifier."""
        worker_id = f"w-{machine}-{len(self.workers)}"
        worker = Worker(self, worker_id, machine, service, cores, labels)
        self.workers.append(worker)
        await worker.start()
        return worker_id

    def end_worker(self, machine) -> None:
        """End the worker of a machine; it has left."""
        for worker in self.workers:
            if worker.machine == machine and worker.up:
                worker.crash()
                self.store.remove(f"servers/{worker.worker_id}")

    def configure(self, routes, services, **limits) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        tenant = {"name": "team-1", "apiKeys": [API_KEY], "weight": 1, **limits}
        config = {
            "version": self.version, "routes": routes,
            "services": [{"name": name} if isinstance(name, str) else name
                         for name in services],
            "tenants": [tenant],
        }  # fmt: skip
        self.store.put_json("op/config", config)
        names = [(item["name"], item["service"]) for item in routes]
        self.record.write(f"configuration {self.version} acknowledged: routes {names}")

    def accepts_ticket(self, worker, task, ticket) -> bool:
        """Return whether a worker may start a task with a ticket."""
        step = task.rpartition(".")[0]
        if task.partition(".")[0] not in self.ticketed:
            return True
        return self.policy.accepts(step, worker.worker_id, ticket)

    def note_start(self, worker, key, _body) -> None:
        """Record a start."""
        self.starts.append((self.record.now_s(), worker, *key))
        self.record.write(f"start {key} at {worker.worker_id}, labels {worker.labels}")

    def note_end(self, worker, key, how) -> None:
        """Record an end."""
        self.ends.append((self.record.now_s(), worker, *key, how))
        self.record.write(f"end {key} at {worker.worker_id}: {how}")

    def note_acked(self, worker, key, how) -> None:
        """Record that `ackedUpto` has reached an end."""
        self.acked.append((self.record.now_s(), worker, *key, how))
        self.record.write(f"end {key} at {worker.worker_id} taken note of: {how}")

    def note_refused(self, worker, key, reason) -> None:
        """Record a start that a worker refused; the first ones line by line."""
        self.refused.append((self.record.now_s(), worker, *key, reason))
        if len(self.refused) <= 20 or len(self.refused) % 100 == 0:
            self.record.write(
                f"refused {key} at {worker.worker_id}: {reason}, number "
                f"{len(self.refused)}"
            )

    async def submit(self, instance, path, steps, ms) -> str:
        """Submit a job until it is accepted; return its identifier."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": json.dumps({"ms": ms}), "steps": steps}
        for _attempt in range(30):
            status, _answer = await call(instance, "POST", path + job, body)
            if status == 200:
                self.record.write(f"job {job} accepted at {path} by {instance.name}")
                return job
            await asyncio.sleep(0.3)
        raise NotRunError(f"no job was accepted at {path}: {status}")

    def stop(self) -> None:
        """End all processes, and keep the logs of the instances if asked to."""
        for instance in self.instances:
            instance.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the instances: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRunError(Exception):
    """The case could not run."""


async def call(instance, method, path, body=None, timeout_s=3.0):
    """Call an instance; return the status, 0 without an answer, and the body."""
    host, _colon, port = instance.entry.rpartition(":")
    data = json.dumps(body).encode() if body is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nApi-Key: {API_KEY}\r\n"
        f"Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    status, answer = 0, {}
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            received = await reader.read()
            writer.close()
            top, _blank, text = received.partition(b"\r\n\r\n")
            status = int(top.split(b" ")[1]) if top else 0
            answer = json.loads(text) if text else {}
    except (OSError, TimeoutError, ValueError):
        pass
    if not path.startswith("/probe/"):
        instance.world.record.write(
            f"{method} {path} at {instance.name}: {status} {answer}"
        )
    return status, answer


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that nobody uses."""
    sockets = [socket.socket() for _number in range(count)]
    for item in sockets:
        item.bind((ip, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses on which the metrics port is free."""
    found: list[str] = []
    while len(found) < count:
        ip = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with socket.socket() as item:
            try:
                item.bind((ip, METRICS_PORT))
            except OSError:
                continue
        found.append(ip)
    return found


def route(name, service, **rest) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name, "host": HOST_NAME, "prefix": f"/{name}/", "service": service,
        "priority": 0, "attempts": 3, "stretch": 1.6, "targetLatencyMs": 600, **rest,
    }  # fmt: skip


def run_case(case: str, body, require_fence=True, limit_s=115.0) -> None:
    """Run a case and exit with its result.

    Args:
        case: Path of the case's Python file.
        body: Coroutine function of the world and whether there is trouble; returns
            what broke the rule, empty if it held.
        require_fence: Whether the provider checks fencing tokens.
        limit_s: Time limit, seconds.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(Path(case).resolve().parent, require_fence)
        try:
            await world.start()
            async with asyncio.timeout(limit_s):
                broken = await body(world, trouble)
        except Exception as error:  # only a broken rule may exit with 1
            world.record.write(f"could not run: {error!r}")
            return 2
        finally:
            world.stop()
        world.record.write(f"rule broken: {broken}" if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
