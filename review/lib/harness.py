"""Stand-ins for the platform's store, leaves and clients, and a launcher for entry instances.

Everything runs on loopback addresses and the real clock. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "monsooncroft-platform")

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

ID = "X-Monsooncroft-Request-Id"
DEADLINE = "X-Monsooncroft-Deadline-Ms"
STAMP = "X-Monsooncroft-Server-Stamp"
EXPECT = "X-Monsooncroft-Expect-Instance"
NOT_EXECUTED = "X-Monsooncroft-Not-Executed"


PAGE_ITEMS = 50  # As in the site file; PROTOCOL.md: "at most about 500 items".


def trouble():
    """Whether the disruption is to be injected."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        line = {"at_s": round(self.now(), 4), "event": event}
        line.update(fields)
        self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.close()


def free_ports(addresses, count):
    """First of `count` successive TCP and UDP ports that are free on all addresses."""
    for first in range(21000, 31000, count):
        sockets = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        sockets.append(probe)
                        probe.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


async def read_message(reader):
    """Reads one HTTP message with a length or in chunks.

    Returns (first line, fields as a list, body); None at the end of the stream.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    length = find(fields, "Content-Length")
    body = b""
    try:
        if (find(fields, "Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif length is not None:
            body = await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], fields, body


def find(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


def find_id(answer):
    """The request id that the bytes of an answer echo."""
    for line in answer.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n"):
        if line.lower().startswith(ID.lower() + ":"):
            return line.split(":", 1)[1].strip()
    return None


def response(status, reason, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: reads, pages and watches of a revisioned map."""

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()

    async def put_json(self, key, value):
        await self.put(key, json.dumps(value).encode())

    async def answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/monsooncroft/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        prefix = query.get("prefix", "")
        if parts.path == "/monsooncroft/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = keys[:PAGE_ITEMS]
            return 200, {
                "items": [self.items[key] for key in page],
                "has_more": len(keys) > len(page),
                "store_revision": self.revision,
            }
        if parts.path == "/monsooncroft/kv-watch":
            after = int(query["after"])
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            async with self.changed:
                while True:
                    events = [
                        e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
                    ]
                    left = deadline - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "store_revision": self.revision}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                words = message[0].split(" ")
                # A request line with further spaces is malformed.
                status, body = await self.answer(words[1]) if len(words) == 3 else (400, {})
                writer.write(
                    response(
                        status,
                        {200: "OK", 400: "Bad Request"}.get(status, "Not Found"),
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Leaf:
    """A backend server: `slots` requests at a time, a short queue, one request at a time a connection."""

    def __init__(self, record, name, service, zone, address, port, slots=2, queue=2, work_s=lambda: 0.02):
        self.record = record
        self.name, self.service, self.zone = name, service, zone
        self.address, self.port = address, port
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = 0
        self.waiting = []
        self.runs = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self, store, period_s=1.2):
        while True:
            await store.put_json("servers/" + self.name, self.entry())
            await asyncio.sleep(period_s)

    async def take_slot(self):
        """Waits for a slot; returns False if the queue is full."""
        if self.busy < self.slots:
            self.busy += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        await waiter
        return True

    def release_slot(self):
        while self.waiting:
            waiter = self.waiting.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return
        self.busy -= 1

    def stamp(self, request_id):
        return f"{self.name}.{request_id}.{self.runs[request_id]}"

    async def handle(self, first, fields, body):
        """Runs a request; returns the bytes of its answer."""
        request_id = find(fields, ID) or ""
        echo = [(ID, request_id)]
        if find(fields, EXPECT) not in (None, self.name):
            return response(421, "Misdirected Request", echo + [(NOT_EXECUTED, "1")])
        if not await self.take_slot():
            self.record.write("shed", leaf=self.name, id=request_id)
            return response(503, "Service Unavailable", echo + [(NOT_EXECUTED, "1")])
        try:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.write("run", leaf=self.name, id=request_id, request=first)
            await asyncio.sleep(self.work_s())
            return response(200, "OK", echo + [(STAMP, self.stamp(request_id))], b"stock " + request_id.encode())
        finally:
            self.release_slot()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.before_answer(writer, message)
                answer = await self.handle(*message)
                writer.write(answer)
                await writer.drain()
                await self.after_answer(writer, message, answer)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def before_answer(self, writer, message):
        """For subclasses: a request has arrived on a connection."""

    async def after_answer(self, writer, message, answer):
        """For subclasses: an answer has been written."""


class Instance:
    """An entry instance, started as the deploy file says."""

    def __init__(self, folder, name, address, zone, ports, seeds, store, zones):
        self.name, self.address, self.ports = name, address, ports
        self.folder = folder
        self.process = None
        self.settings = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": address,
            "zone": zone,
            "region": "semenanjung",
            "zones": {each: "semenanjung" for each in zones},
            "listen": {
                "front": f"{address}:{ports}",
                "ready": f"{address}:{ports + 1}",
                "control": f"{address}:{ports + 2}",
            },
            "internal_port_range": [ports + 3, ports + 18],
            "seeds": [f"{seed}:{ports + 2}" for seed in seeds],
            "bootstrap": True,
            "in_failure_budget": False,
            "limits": {
                "cpu_share": 0.25,
                "cores": 1,
                "memory_mb": 260,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "stability_window_ms": 4000,
                "ack_timeout_ms": 5000,
                "catch_up_s": 4,
                "drain_ms": 3000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "rollback_slack_ms": 250,
                "max_skew_ms": 12000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 52,
                "recovery_s": 12,
            },
            "platform": {
                "address": f"{store.address}:{store.port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "max_value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        self.path = os.path.join(folder, name + ".yaml")

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file, indent=1)  # JSON is a subset of YAML.
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["MONSOONCROFT_CONFIG"] = self.path
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports + 1)
            writer.write(b"GET /monsooncroft/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A client that keeps its connection and sends one request at a time."""

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.reader = self.writer = None

    async def send(self, request_id, method, path, deadline_ms, body=b"", host="depot.example"):
        """Sends a request; returns (status, fields, body), or None if the connection ended without an answer."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.open_connection(self.instance.address, self.instance.ports)
            except OSError:
                self.record.write("no_connection", id=request_id, instance=self.instance.name)
                return None
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{ID}: {request_id}\r\n{DEADLINE}: {deadline_ms}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.record.write("sent", id=request_id, instance=self.instance.name)
        message = None
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000 + 2)
        except (ConnectionError, OSError, asyncio.TimeoutError):
            pass
        if message is None:
            self.record.write("no_answer", id=request_id)
            self.close()
            return None
        status = int(message[0].split(" ")[1])
        self.record.write("answered", id=request_id, status=status, stamp=find(message[1], STAMP))
        if (find(message[1], "Connection") or "").lower() == "close":
            self.close()
        return status, message[1], message[2]

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    """A store, entry instances in three zones and leaves."""

    ZONES = ["klang", "penang", "johor"]

    def __init__(self, case_folder, instances_per_zone=1):
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("the program is not built: " + PROGRAM)
        self.folder = tempfile.mkdtemp(prefix="monsooncroft-review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        count = instances_per_zone * len(self.ZONES)
        base = 20 + os.getpid() % 200
        self.machines = [f"127.{base}.{1 + index}.9" for index in range(count)]
        self.store_address = f"127.{base}.100.1"
        self.leaf_address = f"127.{base}.101.1"
        ports = free_ports(self.machines, 20)
        self.store = Store(self.store_address, free_ports([self.store_address], 1))
        self.next_leaf_port = free_ports([self.leaf_address], 64)
        self.instances = [
            Instance(
                self.folder,
                f"front-{self.ZONES[index % 3]}-{1 + index // 3}",
                address,
                self.ZONES[index % 3],
                ports,
                self.machines[:3],
                self.store,
                self.ZONES,
            )
            for index, address in enumerate(self.machines)
        ]
        self.leaves = []
        self.tasks = []

    def leaf_port(self):
        self.next_leaf_port += 1
        return self.next_leaf_port - 1

    async def add_leaf(self, leaf):
        await leaf.start()
        self.leaves.append(leaf)
        self.tasks.append(asyncio.create_task(leaf.beat(self.store)))

    async def start(self, config, settle_s=20):
        await self.store.start()
        await self.store.put_json("op/config", config)
        for instance in self.instances:
            instance.start()
        deadline = time.monotonic() + settle_s
        while time.monotonic() < deadline:
            states = [await instance.ready() for instance in self.instances]
            if all(states):
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the instances did not become ready")

    def end(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.end()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": limit, "protocol": "h1", "tls": False}
            for name, limit in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run(case_folder, scenario, **deployment):
    """Runs a scenario, a coroutine that takes a deployment and returns an exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    world = None
    try:
        async def body():
            nonlocal world
            world = Deployment(case_folder, **deployment)
            return await asyncio.wait_for(scenario(world), 112)

        code = asyncio.run(body())
    except Exception as error:  # A case that cannot run is reported as such.
        print("could not run:", repr(error))
        code = EXIT_NOT_RUN
    finally:
        if world is not None:
            world.end()
    sys.exit(code)
