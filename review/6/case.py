"""Some leaves crash and come back: is a query that many callers send still
served afterwards?"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import bed as beds  # noqa: E402

HOST = "refill.example"
SHARDS = 20
CRASHED = 6  # of the 40 leaves of the shards: share 0.15
DOWN_S = 4.5
STABILITY_S = 4.0
COLD_S = 3.0
BROWSES_PER_S = 40
OTHERS_PER_S = 20


def config(version, browse):
    shards = [f"portal-{n}" for n in range(SHARDS)]
    routes = [
        {
            "name": "stock-check",
            "host": HOST,
            "prefix": "/stock/",
            "kind": "safe",
            "timeout_ms": 5000,
            "priority": 2,
            "max_attempts": 2,
            "target_latency_ms": 800,
            "service": "depot-ledger",
        }
    ]
    if browse:
        routes.append(
            {
                "name": "catalogue-browse",
                "host": HOST,
                "prefix": "/catalogue/",
                "kind": "safe",
                "timeout_ms": 1200,
                "priority": 1,
                "max_attempts": 2,
                "target_latency_ms": 200,
                "fan_out": shards,
                "top_k": 20,
                "min_success_share": 0.89,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": n, "health_path": "/health", "max_connections": c}
            for n, c in [("depot-ledger", 34)] + [(s, 25) for s in shards]
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def main(trouble):
    bed = beds.Bed(FOLDER)
    try:
        return await play(bed, trouble)
    finally:
        bed.stop()


async def play(bed, trouble):
    note = lambda text: bed.record.write(text, echo=True)
    bed.on_run = lambda leaf, request, fields: None  # 800 runs a second
    for n in range(6):
        await bed.add_leaf("depot-ledger", bed.zones[n % 3], work_s=0.05, slots=2)
    shard_leaves = []
    for n in range(SHARDS):
        for zone in bed.zones[:2]:
            shard_leaves.append(
                await bed.add_leaf(f"portal-{n}", zone, work_s=0.028, slots=2)
            )
    await bed.store.put("op/config", config(7, browse=False))
    await bed.start_instances({"tanta": 2, "mahalla": 2, "kafr-zayat": 2})
    await bed.ready()
    await bed.store.put("op/config", config(9, browse=True))
    note("configuration 9 adds the route of catalogue-browse")
    await asyncio.sleep(5)

    answers = []  # (sent, route, status)

    async def ask(route, path, number):
        instance = bed.instances[number % len(bed.instances)]
        request = f"{route}-{number}"
        sent = time.monotonic()
        status, _ = await bed.get(
            instance.front,
            path,
            {
                "Host": HOST,
                "X-Monsooncroft-Request-Id": request,
                "X-Monsooncroft-Deadline-Ms": "1200" if route == "browse" else "5000",
            },
            6.0,
        )
        answers.append((sent, route, status))
        bed.record.write(f"{request} to {instance.name}: {status}")

    async def clients(route, per_s):
        number = 0
        while True:
            number += 1
            # All callers browse the same catalogue; each checks an item.
            path = "/catalogue/full" if route == "browse" else f"/stock/{number}"
            bed.tasks.append(asyncio.create_task(ask(route, path, number)))
            await asyncio.sleep(1 / per_s)

    loads = [
        asyncio.create_task(clients("browse", BROWSES_PER_S)),
        asyncio.create_task(clients("stock", OTHERS_PER_S)),
    ]

    def count(since, until, route):
        all_ = [s for at, r, s in answers if r == route and since <= at < until]
        return len([s for s in all_ if s == 200]), len(all_)

    await asyncio.sleep(5)
    crash_at = time.monotonic()
    if trouble:
        victims = shard_leaves[::7][:CRASHED]
        note(f"{CRASHED} leaves crash, each of another shard: {[l.id for l in victims]}")
        ends = [asyncio.create_task(l.crash()) for l in victims]
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*ends)
        for l in victims:
            await bed.add_leaf(l.service, l.zone, COLD_S, work_s=0.028, slots=2)
        note("they are back")
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STABILITY_S + COLD_S)
    steady_at = time.monotonic()
    await asyncio.sleep(30)
    end = time.monotonic()
    for load in loads:
        load.cancel()
    await asyncio.gather(*bed.tasks, return_exceptions=True)

    for name, since, until in (
        ("before", 0, crash_at),
        ("in steady state afterwards", steady_at, end),
    ):
        for route in ("browse", "stock"):
            served, asked = count(since, until, route)
            note(f"{name}: {route} served {served} of {asked}")
    statuses = {}
    for at, route, status in answers:
        if route == "browse" and at >= steady_at:
            statuses[status] = statuses.get(status, 0) + 1
    note(f"answers to browse in steady state: {statuses}")
    later, later_asked = count(steady_at, end, "browse")
    first, first_asked = count(steady_at, end, "stock")
    if later_asked < 20 or first == 0:
        raise RuntimeError("too few requests")
    return later / later_asked < 0.25 * first / first_asked


beds.run(main)
