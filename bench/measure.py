"""One run: a deployment, its load, a fault, and the figures of all three."""
import json
import os
import shutil
import subprocess
import tempfile
import threading
import time

from deployment import BIN, Deployment, PLATFORM, call
from scenarios import FAULTS, FLOWS, PATIENT, SMALL_SERVICE_PER_S, URGENT, flow

LEAF_SUMS = ["attempts", "executed", "refused", "expired", "cancelled_queued", "cancelled_running", "new_connections",
             "connection_refusals", "busy_ms"]


def overload_flows(deployment, name, services, factor):
    """Half urgent, half patient, at a multiple of what the leaves of small services can serve."""
    rate = factor * SMALL_SERVICE_PER_S * len(services)
    tenants = [t["name"] for t in deployment.manifest["tenants"]]
    unlimited = next(t["name"] for t in deployment.manifest["tenants"] if t["rate_per_s"] == 0)
    urgent = flow("urgent", services, URGENT[name], tenants[0], rate / 2)
    return [urgent, flow("patient", services, PATIENT[name], unlimited, rate / 2)]


def greedy_flows(deployment, name, services, factor):
    """One tenant asks for far more than the leaves can serve, another modestly for the same."""
    rate = SMALL_SERVICE_PER_S * len(services)
    limited = [t["name"] for t in deployment.manifest["tenants"] if t["rate_per_s"] > 0]
    unlimited = next(t["name"] for t in deployment.manifest["tenants"] if t["rate_per_s"] == 0)
    flows = [flow("modest", services, URGENT[name], limited[0], 0.2 * rate)]
    if factor > 0:
        flows.append(flow("greedy", services, URGENT[name], unlimited, factor * rate))
    return flows


def flows_of(options, deployment):
    services = [s["name"] for s in deployment.manifest["services"]]
    small = [s["name"] for s in deployment.manifest["services"] if len(s["leaves"]) == 2]
    if options.scenario == "overload":
        return overload_flows(deployment, options.deployment, small or services, getattr(options, "factor", 2.0))
    if options.scenario == "greedy-tenant":
        return greedy_flows(deployment, options.deployment, small or services, getattr(options, "factor", 2.0))
    return FLOWS[options.deployment](deployment, options.rate)


def least_attempts(deployment, flows, result):
    """Executions needed at least: every shard once, for each query that was not refused."""
    total = 0.0
    for described, measured in zip(flows, result["flows"]):
        shards = sum(deployment.shards_of(s) for s in described["services"]) / len(described["services"])
        total += shards * (measured["all"]["count"] - measured["refused"]["count"])
    return total


def sums(stats):
    return {name: sum(leaf[name] for leaf in stats.values()) for name in LEAF_SUMS}


class Sampler:
    """Connections held at every leaf, sampled; leaves' own maximum is exact."""

    def __init__(self, deployment, at):
        self.deployment = deployment
        self.first = None
        self.timer = threading.Timer(at, self.take)

    def take(self):
        self.first = (time.monotonic(), sums(self.deployment.leaf_stats()), self.deployment.cpu_s(),
                      self.deployment.executions())


def refusal_truth(deployment, result, most=400):
    """Whether requests answered not_run ran anywhere."""
    asked = [r for measured in result["flows"] for r in measured["refused_ids"][:most]]
    runs = deployment.runs_of(asked)
    return {"checked": len(asked), "untrue": sorted(r for r, total in runs.items() if total > 0)[:20],
            "untrue_count": sum(1 for total in runs.values() if total > 0)}


def leaf_figures(deployment, first, last_stats, seconds):
    declared = {leaf["name"]: leaf["connection_limit"] for leaf in deployment.leaves()}
    change = {k: v - first[1][k] for k, v in sums(last_stats).items()}
    most = max(last_stats.items(), key=lambda item: item[1]["max_connections"] / declared[item[0]])
    return {"change": change, "max_connections": most[1]["max_connections"], "max_connections_leaf": most[0],
            "limit": declared[most[0]],
            "over_limit": sum(1 for n, s in last_stats.items() if s["max_connections"] > declared[n]),
            "connection_refusals": sum(s["connection_refusals"] for s in last_stats.values()),
            "new_connections_per_s_per_leaf": change["new_connections"] / seconds / len(declared)}


def run_once(options):
    """Runs one scenario; returns its figures."""
    folder = tempfile.mkdtemp(prefix="monsooncroft-bench-")
    services = options.services.split(",") if options.services else None
    deployment = Deployment(options.deployment, folder, options.instances, options.settings, services)
    try:
        deployment.start()
        return measure(options, deployment)
    finally:
        codes = deployment.stop()
        if any(codes):
            print("bench: exit codes", codes, "logs in", folder, flush=True)
        elif options.keep_logs:
            print("bench: logs in", folder, flush=True)
        else:
            shutil.rmtree(folder)


def measure(options, deployment):
    flows = flows_of(options, deployment)
    plan = deployment.write("plan.json", {
        "seed": options.seed, "length_ms": int(1000 * (options.seconds + options.warm_up)),
        "warm_up_ms": int(1000 * options.warm_up), "targets": [i.caller for i in deployment.instances],
        "flows": flows})
    fault = FAULTS[options.scenario](deployment, options.seed)
    fault.before()
    sampler = Sampler(deployment, options.warm_up)
    sampler.timer.start()
    fault.thread.start()
    load_before = os.getloadavg()[0]
    done = subprocess.run([f"{BIN}/bench_load", plan], check=True, stdout=subprocess.PIPE)
    fault.over.set()
    fault.thread.join()
    seconds = time.monotonic() - sampler.first[0]
    stats = deployment.leaf_stats()
    cpu = deployment.cpu_s() - sampler.first[2]
    runs = deployment.executions()
    result = json.loads(done.stdout)
    leaves = leaf_figures(deployment, sampler.first, stats, seconds)
    executions = runs["executions"] - sampler.first[3]["executions"]
    repeated = runs["repeated"] - sampler.first[3]["repeated"]
    least = least_attempts(deployment, flows, result)
    result.update({
        "deployment": options.deployment, "scenario": options.scenario, "seed": options.seed,
        "instances": options.instances, "settings": options.settings, "seconds": options.seconds,
        "load_average": [load_before, os.getloadavg()[0]], "leaves": leaves, "executions": executions,
        "least_executions": least, "extra_load": repeated / max(1, executions - repeated),
        "executions_over_least": executions / max(1.0, least),
        "repeated_not_idempotent": runs["repeated_not_idempotent"], "entry_cpu_s": cpu,
        "entry_cpu_ms_per_execution": 1000 * cpu / max(1, executions), "notes": fault.notes,
        "refusals": refusal_truth(deployment, result), "platform": call(PLATFORM, "/control/stats")[1]})
    for measured in result["flows"]:
        del measured["refused_ids"]
    return result


def flow_of(result, name):
    return next(f for f in result["flows"] if f["name"] == name)


def good_per_s(result, names=None):
    """Complete and partial answers a second."""
    return sum(f["statuses"].get("complete", 0) + f["statuses"].get("partial", 0)
               for f in result["flows"] if names is None or f["name"] in names) / result["seconds"]
