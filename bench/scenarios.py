"""The load of each deployment and the faults of each scenario."""
import random
import signal
import threading
import time

from deployment import CONTROL, call

SLOW_FACTOR = 20
COLD_START_MS = 1500
# Queries that leaves of one small service can serve: 2 leaves, 2 slots, 4 shards a query, mean 15.8 ms a shard.
SMALL_SERVICE_PER_S = 2 * 2 * 1000 / 15.8 / 4


def flow(name, services, kind, tenant, rate, **more):
    return {"name": name, "services": services, "kind": kind, "tenant": tenant, "rate_per_s": rate, **more}


def guild_flows(deployment, rate):
    """Rates in the proportions of the guild; urgent, normal and not idempotent."""
    flows = [flow("route", deployment.services_with("route"), "route", "members", 0.55 * rate),
             flow("operator-lookup", deployment.services_with("operator-lookup"), "operator-lookup", "operator",
                  0.30 * rate)]
    for kind, tenant in (("customer-lookup", "operator"), ("dispatch", "dispatch")):
        services = deployment.services_with(kind)
        if services:
            flows.append(flow(kind, services, kind, tenant, (0.10 if kind == "customer-lookup" else 0.05) * rate))
    return flows


def rakan_flows(deployment, rate):
    flows = [flow("urgent-lookup", deployment.services_with("urgent-lookup"), "urgent-lookup", "clinics", 0.45 * rate),
             flow("browse", deployment.services_with("browse"), "browse", "partners", 0.45 * rate)]
    if deployment.services_with("stock-check"):
        flows += [flow("stock-level", deployment.services_with("stock-level"), "stock-level", "safety", 0.05 * rate,
                       body={"sum": True}),
                  flow("stock-check", deployment.services_with("stock-check"), "stock-check", "clinics", 0.05 * rate,
                       body={"sum": True})]
    return flows


FLOWS = {"guild": guild_flows, "rakan-bekal": rakan_flows}
URGENT = {"guild": "route", "rakan-bekal": "urgent-lookup"}
PATIENT = {"guild": "operator-lookup", "rakan-bekal": "browse"}


class Fault:
    """Runs beside the load; subclasses say what goes wrong."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.notes = {}
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def before(self):
        """Once, before the load."""

    def run(self):
        """During the load, until self.over is set."""

    def one_in(self, share):
        leaves = [leaf["name"] for leaf in self.deployment.leaves()]
        return sorted(self.random.sample(leaves, max(1, round(len(leaves) / share))))


class SlowReplica(Fault):
    def before(self):
        self.notes["slow"] = self.one_in(20)
        for leaf in self.notes["slow"]:
            self.deployment.control(leaf, slow_factor=SLOW_FACTOR)


class ColdStarts(Fault):
    def run(self):
        leaves = self.deployment.leaves()
        self.random.shuffle(leaves)
        self.notes["restarts"] = 0
        for leaf in leaves:
            if self.over.wait(0.5):
                return
            self.deployment.control(leaf["name"], down=True)
            if self.over.wait(0.3):
                return
            self.deployment.control(leaf["name"], up=True, cold_start_ms=COLD_START_MS)
            self.notes["restarts"] += 1


class Shedding(Fault):
    def before(self):
        self.notes["shed"] = self.one_in(10)
        for leaf in self.notes["shed"]:
            self.deployment.control(leaf, shed=0.5)


class Lying(Fault):
    def before(self):
        self.deployment.control("*", lie=True)
        self.notes["slow"] = self.one_in(20)
        for leaf in self.notes["slow"]:
            self.deployment.control(leaf, slow_factor=SLOW_FACTOR)


class LostDataCentre(Fault):
    def run(self):
        if self.over.wait(5):
            return
        for leaf in self.deployment.leaves():
            if leaf["data_centre"] == "dc3":
                self.deployment.control(leaf["name"], down=True)
        for instance in self.deployment.instances:
            if instance.data_centre == "dc3":
                self.deployment.stop_instance(instance, signal.SIGKILL)


class ReplaceInstances(Fault):
    HOW = signal.SIGTERM

    def run(self):
        self.notes["exit_codes"] = []
        while not self.over.wait(1):
            instance = self.deployment.instances[self.random.randrange(len(self.deployment.instances))]
            self.notes["exit_codes"].append(self.deployment.stop_instance(instance, self.HOW))
            self.deployment.start_instance(instance)
            self.deployment.list_instances()
            end = time.monotonic() + 15
            while call(instance.caller, "/readyz")[0] != 200 and time.monotonic() < end:
                time.sleep(0.1)


class KillInstances(ReplaceInstances):
    HOW = signal.SIGKILL


FAULTS = {"steady": Fault, "slow-replica": SlowReplica, "cold-starts": ColdStarts, "shedding": Shedding,
          "lying": Lying, "lost-data-centre": LostDataCentre, "overload": Fault, "greedy-tenant": Fault,
          "replace-instances": ReplaceInstances, "kill-instances": KillInstances}
