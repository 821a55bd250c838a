"""While the store turns away three of nine machines, leaves are replaced and a
configuration comes: when does it come into force on the machines in touch?"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import bed as beds  # noqa: E402

HOST = "lookup.example"
SHARDS = 20
RELEASED = 20  # of the 40 leaves of the shards: share 0.5
TURNED_AWAY_S = 4.0  # at most 9 s on the site
STABILITY_S = 4.0
APPLY_S = 3.0
SKEW_S = 12.0


def config(version, service):
    shards = [f"desk-{n}" for n in range(SHARDS)]
    common = {"kind": "safe", "timeout_ms": 4000, "priority": 2, "max_attempts": 2}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "household-lookup",
                "host": HOST,
                "prefix": "/book/",
                "target_latency_ms": 250,
                "service": service,
            },
            {
                **common,
                "name": "quick-nearby",
                "host": HOST,
                "prefix": "/near/",
                "target_latency_ms": 40,
                "fan_out": shards,
                "top_k": 5,
                "min_success_share": 0.75,
            },
        ],
        "services": [
            {"name": n, "health_path": "/health", "max_connections": c}
            for n, c in [("customer-book", 110), ("whetstone-supply", 110)]
            + [(s, 26) for s in shards]
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def release(bed, leaves):
    """Leaves are replaced one after the other: the new one starts, then the old
    one drains, serves for drain_ms and goes."""

    async def replace(old):
        await bed.add_leaf(old.service, old.zone, cold_s=3.0)
        await asyncio.sleep(0.4)
        await old.drain()
        await asyncio.sleep(3.5)
        await old.leave()

    steps = []
    for old in leaves:
        steps.append(asyncio.create_task(replace(old)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*steps)


async def main(trouble):
    bed = beds.Bed(FOLDER)
    try:
        return await play(bed, trouble)
    finally:
        bed.stop()


async def play(bed, trouble):
    note = lambda text: bed.record.write(text, echo=True)
    for service in ("customer-book", "whetstone-supply"):
        for zone in bed.zones:
            await bed.add_leaf(service, zone)
    for n in range(SHARDS):
        for zone in bed.zones[:2]:
            await bed.add_leaf(f"desk-{n}", zone)
    await bed.store.put("op/config", config(7, "customer-book"))
    await bed.start_instances({"tanta": 4, "mahalla": 2, "kafr-zayat": 3})
    await bed.ready()
    await asyncio.sleep(6)

    acked = {}  # version: when the store acknowledged it
    answers = []  # (sent, instance, version that explains it)

    async def ask(instance, number):
        request = f"q{instance.name}-{number}"
        sent = time.monotonic()
        status, body = await bed.get(
            instance.front,
            "/book/1",
            {
                "Host": HOST,
                "X-Monsooncroft-Request-Id": request,
                "X-Monsooncroft-Deadline-Ms": "3000",
            },
        )
        answers.append((sent, instance, status, body))
        bed.record.write(f"answer {request} sent {sent - bed.record.start:.3f} "
                         f"to {instance.name}: {status} {body}")

    async def clients():
        number = 0
        while True:
            number += 1
            for instance in bed.instances:
                bed.tasks.append(asyncio.create_task(ask(instance, number)))
            await asyncio.sleep(0.5)

    load = asyncio.create_task(clients())
    planned = asyncio.create_task(
        release(bed, [l for l in bed.leaves if l.service.startswith("desk-")][:RELEASED])
    )
    await asyncio.sleep(1)
    # A change that comes in the usual way. Each watch begins again after it.
    await bed.store.put("op/config", config(9, "customer-book"))
    note("configuration 9 acknowledged")
    await asyncio.sleep(1)
    watching = bed.store.watchers("op/")
    note(f"watch the configuration: {watching}; "
         f"the registrations: {bed.store.watchers('servers/')}")
    if trouble:
        away = watching[:3]
        bed.store.silent = set(away)
        note(f"the store gives no response to {away}")
    else:
        away = []
    await asyncio.sleep(1)
    await bed.store.put("op/config", config(12, "whetstone-supply"))
    ack = time.monotonic()
    note("configuration 12 acknowledged: /book/ goes to whetstone-supply")
    await asyncio.sleep(TURNED_AWAY_S - 1)
    bed.store.silent = set()
    healed = time.monotonic()
    note("the store serves all machines")
    await asyncio.sleep(24)
    load.cancel()
    await asyncio.gather(*bed.tasks, return_exceptions=True)
    planned.cancel()

    old = [a for a in answers if a[2] == 200 and a[3] == "customer-book"]
    last = max((a[0] for a in old), default=ack)
    note(f"last request handled by an older version: {last - ack:.1f} s after the acknowledgement")
    # In touch: the store was without disruption for stability_window_ms.
    since = max(ack + APPLY_S, healed + STABILITY_S) if trouble else ack + APPLY_S
    broken = [a for a in old if a[0] > since]
    note(f"requests of machines in touch, sent over 3 s after it, handled by an older version: {len(broken)}")
    stretched = [a for a in broken if a[0] > ack + APPLY_S + SKEW_S]
    note(f"of them sent over 15 s after it (with max_skew_ms): {len(stretched)}")
    note(f"of them by machines that were never turned away: "
         f"{len([a for a in broken if a[1].name not in away])}")
    note(f"requests answered 200: {len([a for a in answers if a[2] == 200])} of {len(answers)}")
    return bool(broken)


beds.run(main)
