"""Paired experiments, bounds and the cost of control."""
import copy
import os
import statistics
import tempfile
import time

import measure
import report
from deployment import Deployment, PLATFORM, call

EXPERIMENTS = {
    "relay": [{"relay.shards_per_message": 0}, {"relay.shards_per_message": 1}],
    "owners": [{"ownership.replicas": k} for k in (0, 1, 2)],
    "fifo": [{"admission.fifo": False}, {"admission.fifo": True}],
    "hedging": [{"hedge.budget_percent": 5}, {"hedge.budget_percent": 0}],
    "fixed-hedge": [{"hedge.fixed_ms": 0}, {"hedge.fixed_ms": 30}],
}
# What an experiment runs under unless the command line says otherwise.
EXPERIMENT_SCENARIOS = {"relay": "slow-replica", "owners": "steady", "fifo": "overload", "hedging": "slow-replica", "fixed-hedge": "slow-replica"}
SLOW_P99_FACTOR = 1.5
EXTRA_LOAD = 0.05
COVERAGE = 0.999
GOODPUT_SHARE = 0.9
REFUSAL_MS = 5.0
DEADLINE_SHARE = 0.9  # A p99 above this share of the deadline is cut by it.
ANSWERED_SLACK = 0.001
URGENT_DEADLINE_MS = {"guild": 160, "rakan-bekal": 200}
SMALL = {"guild": "district-01,district-02,district-03,district-04",
         "rakan-bekal": "partner-01,partner-02,partner-03,partner-04"}


def with_options(options, **changes):
    changed = copy.copy(options)
    for name, value in changes.items():
        setattr(changed, name, value)
    return changed


def run(options, **changes):
    result = measure.run_once(with_options(options, **changes))
    report.print_run(result)
    return result


def spread(values):
    return {"median": statistics.median(values), "least": min(values), "greatest": max(values), "values": values}


def summary(runs):
    """Median, least and greatest of the telling figures."""
    out = {}
    for flow in runs[0]["flows"]:
        same = [measure.flow_of(r, flow["name"]) for r in runs]
        out[flow["name"]] = {
            "p50_ms": spread([f["answered"]["p50_ms"] for f in same]),
            "p99_ms": spread([f["answered"]["p99_ms"] for f in same]),
            "p99_9_ms": spread([f["answered"]["p99_9_ms"] for f in same]),
            "coverage": spread([f["coverage"] for f in same]),
            "good_per_s": spread([measure.good_per_s(r, [flow["name"]]) for r in runs])}
    out["run"] = {
        "extra_load": spread([r["extra_load"] for r in runs]),
        "max_connections": spread([r["leaves"]["max_connections"] for r in runs]),
        "new_connections_per_s_per_leaf": spread([r["leaves"]["new_connections_per_s_per_leaf"] for r in runs]),
        "entry_cpu_ms_per_execution": spread([r["entry_cpu_ms_per_execution"] for r in runs]),
        "load_average": spread([r["load_average"][1] for r in runs])}
    return out


def print_summary(title, figures):
    print(f"-- {title}")
    for name, row in figures.items():
        print(f"   {name:16} " + ", ".join(
            f"{k} {v['median']:.4g} [{v['least']:.4g} {v['greatest']:.4g}]" for k, v in row.items()), flush=True)


def experiment(options):
    variants = EXPERIMENTS[options.experiment]
    scenario = options.scenario if options.scenario != "steady" else EXPERIMENT_SCENARIOS[options.experiment]
    services = options.services or (SMALL[options.deployment] if scenario == "overload" else None)
    runs = [[] for _ in variants]
    for _ in range(options.pairs):
        for i, settings in enumerate(variants):
            runs[i].append(run(options, scenario=scenario, services=services,
                               settings={**options.settings, **settings}))
    out = {}
    for settings, same in zip(variants, runs):
        name = " ".join(f"{k}={v}" for k, v in settings.items())
        out[name] = {"summary": summary(same), "runs": same}
        print_summary(name, out[name]["summary"])
    return out


def answered_share(flow):
    """Share of queries that got a complete or partial answer."""
    good = flow["statuses"].get("complete", 0) + flow["statuses"].get("partial", 0)
    return good / max(1, flow["all"]["count"])


def verdict(name, held, text):
    print(f"bound {name}: {'HELD' if held else 'NOT HELD'}: {text}", flush=True)
    return {"held": held, "text": text}


def bound_slow(options):
    urgent = measure.URGENT[options.deployment]
    steady, slow = [], []
    for _ in range(options.pairs):
        steady.append(run(options, scenario="steady"))
        slow.append(run(options, scenario="slow-replica"))
    before = spread([measure.flow_of(r, urgent)["all"]["p99_ms"] for r in steady])
    after = spread([measure.flow_of(r, urgent)["all"]["p99_ms"] for r in slow])
    share = [statistics.median(answered_share(measure.flow_of(r, urgent)) for r in runs) for runs in (steady, slow)]
    # A p99 at the deadline cannot grow: then only the answered share tells.
    telling = before["median"] < DEADLINE_SHARE * URGENT_DEADLINE_MS[options.deployment]
    extra = spread([r["extra_load"] for r in slow])
    factor = after["median"] / before["median"]
    result = verdict(f"{options.deployment} slow replica",
                     telling and share[1] >= share[0] - ANSWERED_SLACK and factor <= SLOW_P99_FACTOR
                     and extra["median"] <= EXTRA_LOAD,
                     f"{urgent} p99 {before['median']:.1f} [{before['least']:.1f} {before['greatest']:.1f}] ms to "
                     f"{after['median']:.1f} [{after['least']:.1f} {after['greatest']:.1f}] ms, factor {factor:.2f} "
                     f"(at most {SLOW_P99_FACTOR}), extra load {100 * extra['median']:.2f}% (at most 5%), "
                     f"answered {100 * share[0]:.2f}% to {100 * share[1]:.2f}%"
                     + ("" if telling else "; p99 without the fault is at the deadline, so the factor says nothing"))
    return {**result, "runs": steady + slow}


def bound_coverage(options):
    """Browsing while replicas are slow, shed, restart cold, and one data centre is lost."""
    options = with_options(options, deployment="rakan-bekal")
    runs = [run(options, scenario=s) for s in ("slow-replica", "shedding", "cold-starts", "lost-data-centre")]
    browse = {r["scenario"]: measure.flow_of(r, "browse")["coverage"] for r in runs}
    result = verdict("browsing coverage", min(browse.values()) >= COVERAGE,
                     ", ".join(f"{k} {v:.5f}" for k, v in browse.items()) + f" (at least {COVERAGE})")
    return {**result, "runs": runs}


def bound_overload(options):
    services = SMALL[options.deployment]
    runs = [run(options, scenario="overload", services=services, factor=f) for f in (0.6, 0.8, 1.0, 2.0)]
    good = [measure.good_per_s(r) for r in runs]
    last = runs[-1]
    urgent, patient = measure.flow_of(last, "urgent"), measure.flow_of(last, "patient")

    refused = max(f["refused"]["p99_ms"] for f in last["flows"])
    truth = last["refusals"]
    held = {"goodput": good[-1] >= GOODPUT_SHARE * max(good), "urgent first": answered_share(urgent) > answered_share(patient),
            "true refusals": truth["untrue_count"] == 0, "fast refusals": refused < REFUSAL_MS}
    text = (f"answers a second at 0.6, 0.8, 1, 2 times: {', '.join(f'{g:.1f}' for g in good)}; at 2 times: urgent "
            f"{100 * answered_share(urgent):.1f}%, patient {100 * answered_share(patient):.1f}%; refusals "
            f"{sum(f['refused']['count'] for f in last['flows'])}, checked {truth['checked']}, untrue "
            f"{truth['untrue_count']}, p99 {refused:.2f} ms; " + ", ".join(f"{k} {v}" for k, v in held.items()))
    return {**verdict(f"{options.deployment} overload", all(held.values()), text), "parts": held, "runs": runs}


def bound_connections(options):
    runs = [run(options, scenario=s) for s in ("steady", "replace-instances", "kill-instances")]
    over = {r["scenario"]: (r["leaves"]["max_connections"], r["leaves"]["limit"], r["leaves"]["over_limit"],
                            r["leaves"]["connection_refusals"]) for r in runs}
    held = all(o[2] == 0 and o[3] == 0 for o in over.values())
    text = ", ".join(f"{k}: at most {o[0]} of {o[1]}, leaves over {o[2]}, refused {o[3]}" for k, o in over.items())
    return {**verdict(f"{options.deployment} connections", held, text), "runs": runs}


def bound_tenants(options):
    services = SMALL[options.deployment]
    alone = run(options, scenario="greedy-tenant", services=services, factor=0)
    beside = run(options, scenario="greedy-tenant", services=services, factor=2.0)
    good = [measure.good_per_s(r, ["modest"]) for r in (alone, beside)]
    text = (f"modest tenant's answers a second alone {good[0]:.1f}, beside a greedy one {good[1]:.1f}; p99 "
            f"{measure.flow_of(alone, 'modest')['answered']['p99_ms']:.1f} and "
            f"{measure.flow_of(beside, 'modest')['answered']['p99_ms']:.1f} ms")
    held = good[1] >= GOODPUT_SHARE * good[0]
    return {**verdict(f"{options.deployment} tenants", held, text), "runs": [alone, beside]}


BOUNDS = {"slow": bound_slow, "coverage": bound_coverage, "overload": bound_overload,
          "connections": bound_connections, "tenants": bound_tenants}


def bounds(options):
    names = options.only.split(",") if options.only else list(BOUNDS)
    return {name: BOUNDS[name](options) for name in names}


def traffic():
    """Bytes over loopback, and UDP datagrams, of the whole machine."""
    with open("/proc/net/dev", encoding="ascii") as file:
        for line in file:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[0])
    return 0


def platform_calls():
    calls = call(PLATFORM, "/control/stats")[1]["calls"]
    return {name: value for name, value in calls.items() if isinstance(value, (int, float))}


def scale_once(options, count):
    folder = tempfile.mkdtemp(prefix="monsooncroft-scale-")
    services = options.services.split(",") if options.services else ["district-01", "district-02"]
    deployment = Deployment("guild", folder, count, options.settings, services)
    try:
        deployment.start()
        time.sleep(options.warm_up)
        before = (time.monotonic(), deployment.cpu_s(), platform_calls(), traffic())
        time.sleep(options.seconds)
        seconds = time.monotonic() - before[0]
        calls = platform_calls()
        return {"instances": count, "cpu_percent": 100 * (deployment.cpu_s() - before[1]) / seconds / count,
                "resident_mb": statistics.median(i.resident_mb() for i in deployment.instances),
                "loopback_bytes_per_s": (traffic() - before[3]) / seconds / count,
                "platform_calls_per_s": sum(calls.values()) / seconds / count
                - sum(before[2].values()) / seconds / count,
                "load_average": os.getloadavg()[0]}
    finally:
        deployment.stop()


def scale(options):
    rows = []
    for count in options.scale:
        rows.append(scale_once(options, count))
        print(", ".join(f"{k} {v:.4g}" for k, v in rows[-1].items()), flush=True)
    out = {"rows": rows, "slopes": {}}
    if len(rows) > 1:
        for name in ("cpu_percent", "resident_mb", "loopback_bytes_per_s", "platform_calls_per_s"):
            fit = statistics.linear_regression([r["instances"] for r in rows], [r[name] for r in rows])
            out["slopes"][name] = {"per_instance": fit.slope, "fixed": fit.intercept}
            print(f"{name} of one instance: {fit.intercept:.4g} + {fit.slope:.4g} x instances", flush=True)
    return out
