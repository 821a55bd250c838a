"""Starts, watches and stops the real processes of a deployment on loopback."""
import concurrent.futures
import http.client
import json
import os
import signal
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"), "bin")
PLATFORM = "127.0.0.1:27000"
CONTROL = "127.0.0.1:27001"
FIRST_CALLER = 27010
FIRST_PEER = 27110
FIRST_LEAF = 27300
DATA_CENTRES = ["dc1", "dc2", "dc3"]
READY_TIMEOUT_S = 60
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def call(address, path, body=None, timeout=10):
    """One HTTP call; returns status and parsed JSON, or status 0."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request("GET" if body is None else "POST", path, data)
        reply = connection.getresponse()
        text = reply.read()
        return reply.status, json.loads(text or b"null")
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


def wait_for(what, condition):
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    sys.exit(f"bench: {what}: not in {READY_TIMEOUT_S} s")


class Instance:
    """One entry instance; each start has a new id, as on the platform."""

    def __init__(self, number):
        self.number = number
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.caller = f"127.0.0.1:{FIRST_CALLER + number}"
        self.peer = f"127.0.0.1:{FIRST_PEER + number}"
        self.starts = 0
        self.process = None
        self.spent = 0.0  # CPU seconds of earlier processes

    @property
    def id(self):
        return f"entry-{self.number + 1}-{self.starts}"

    def row(self):
        return {"id": self.id, "role": "entry", "address": self.peer, "caller_address": self.caller,
                "data_centre": self.data_centre, "state": "live"}

    def cpu_s(self):
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            return self.spent + (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        except OSError:
            return self.spent

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Stand-ins and entry instances with a manifest from examples/ on other ports."""

    def __init__(self, name, folder, instances, settings=None, services=None):
        self.folder = folder
        self.settings = settings or {}
        self.processes = []
        self.instances = [Instance(i) for i in range(instances)]
        with open(os.path.join(ROOT, "examples", f"{name}.json"), encoding="utf-8") as file:
            self.manifest = json.load(file)
        with open(os.path.join(ROOT, "examples", f"{name}-backend.json"), encoding="utf-8") as file:
            self.backend = json.load(file)
        if services:
            self.keep_services(services)
        self.change_ports()

    def keep_services(self, names):
        self.manifest["services"] = [s for s in self.manifest["services"] if s["name"] in names]
        self.backend["leaves"] = [leaf for leaf in self.backend["leaves"] if leaf["service"] in names]

    def change_ports(self):
        addresses = {}
        for i, leaf in enumerate(self.backend["leaves"]):
            leaf["address"] = addresses[leaf["name"]] = f"127.0.0.1:{FIRST_LEAF + i}"
        for service in self.manifest["services"]:
            for leaf in service["leaves"]:
                leaf["address"] = addresses[leaf["name"]]

    def leaves(self):
        return [leaf for service in self.manifest["services"] for leaf in service["leaves"]]

    def services_with(self, kind):
        return [s["name"] for s in self.manifest["services"] if any(c["kind"] == kind for c in s["contracts"])]

    def shards_of(self, name):
        return next(len(s["shards"]) for s in self.manifest["services"] if s["name"] == name)

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)
        return path

    def start_process(self, log, *command):
        with open(os.path.join(self.folder, log), "ab") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def rows(self):
        rows = [instance.row() for instance in self.instances if instance.process is not None]
        return rows + [{"id": leaf["name"], "role": "leaf", "address": leaf["address"],
                        "caller_address": leaf["address"], "data_centre": leaf["data_centre"], "state": "live"}
                       for leaf in self.leaves()]

    def list_instances(self):
        call(PLATFORM, "/control/instances", {"instances": self.rows(), "lag_ms": 0})

    def start_instance(self, instance):
        instance.starts += 1
        settings = {"instance": {"id": instance.id, "data_centre": instance.data_centre},
                    "listen": {"caller": instance.caller, "peer": instance.peer},
                    "platform": {"addresses": [PLATFORM]}, "shutdown": {"drain_ms": 1000}}
        for name, value in self.settings.items():
            section, field = name.split(".", 1)
            settings.setdefault(section, {})[field] = value
        path = self.write(f"{instance.id}.json", settings)
        instance.process = self.start_process(f"{instance.id}.log", f"{BIN}/monsooncroftd", path)

    def stop_instance(self, instance, how=signal.SIGTERM):
        """Ends one instance; returns its exit code."""
        instance.spent = instance.cpu_s()
        instance.process.send_signal(how)
        code = instance.process.wait(timeout=60)
        self.processes.remove(instance.process)
        return code

    def start(self):
        listed = self.write("instances.json", [])
        self.start_process("platform.log", f"{BIN}/standin_platform", "--listen", PLATFORM, "--instances", listed)
        backend = self.write("backend.json", self.backend)
        self.start_process("backend.log", f"{BIN}/standin_backend", "--config", backend, "--control", CONTROL,
                           "--threads", "3")
        wait_for("stand-ins", lambda: call(PLATFORM, "/v1/instances")[0] == 200
                 and call(CONTROL, "/control/stats")[0] == 200)
        for instance in self.instances:
            self.start_instance(instance)
        self.list_instances()
        self.wait_instances("/healthz")
        manifest = self.write("manifest.json", self.manifest)
        subprocess.run([f"{BIN}/monsooncroftctl", "--platform", PLATFORM, "apply", manifest], check=True,
                       stdout=subprocess.DEVNULL)
        self.wait_instances("/readyz")

    def wait_instances(self, path):
        wait_for(path, lambda: all(call(i.caller, path)[0] == 200 for i in self.instances))

    def control(self, leaf, **fault):
        status, reply = call(CONTROL, "/control/leaf", {"name": leaf, **fault})
        if status != 200:
            sys.exit(f"bench: leaf control {leaf} {fault}: {status} {reply}")

    def leaf_stats(self):
        return call(CONTROL, "/control/stats", timeout=30)[1]["leaves"]

    def executions(self):
        return call(CONTROL, "/control/executions", timeout=60)[1]

    def runs_of(self, requests):
        """Executions of each request, asked for on a few connections at a time."""
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            replies = pool.map(lambda r: call(CONTROL, "/control/executions", {"request_id": r}), requests)
            return {request: reply[1]["total"] for request, reply in zip(requests, replies)}

    def cpu_s(self):
        return sum(instance.cpu_s() for instance in self.instances)

    def stop(self):
        """Stops everything that this deployment started; returns the exit codes."""
        codes = []
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                codes.append(process.wait(timeout=40))
            except subprocess.TimeoutExpired:
                process.kill()
                codes.append(process.wait())
        self.processes = []
        return codes
