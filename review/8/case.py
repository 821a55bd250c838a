"""Open connections to the store go silent; later a leaf drains: how long does
it still get requests from machines in touch?"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import bed as beds  # noqa: E402

HOST = "lookup.example"
STALE_READS_S = 4.0  # of reads with serializable=1, which may be seconds old
STABILITY_S = 4.0
DRAIN_S = 3.0


def config(version, timeout_ms):
    return {
        "version": version,
        "routes": [
            {
                "name": "household-lookup",
                "host": HOST,
                "prefix": "/book/",
                "kind": "safe",
                "timeout_ms": timeout_ms,
                "priority": 2,
                "max_attempts": 2,
                "target_latency_ms": 250,
                "service": "customer-book",
            }
        ],
        "services": [
            {"name": "customer-book", "health_path": "/health", "max_connections": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def main(trouble):
    bed = beds.Bed(FOLDER, stale_s=STALE_READS_S)
    try:
        return await play(bed, trouble)
    finally:
        bed.stop()


async def play(bed, trouble):
    note = lambda text: bed.record.write(text, echo=True)
    for zone in bed.zones:
        for _ in range(2):
            await bed.add_leaf("customer-book", zone)
    await bed.store.put("op/config", config(7, 4000))
    await asyncio.sleep(STALE_READS_S + 0.5)
    await bed.start_instances({"tanta": 4, "mahalla": 2, "kafr-zayat": 3})
    await bed.ready()
    await asyncio.sleep(6)

    sent = {}  # request: (when, instance)

    async def ask(instance, request):
        sent[request] = (time.monotonic(), instance)
        status, _ = await bed.get(
            instance.front,
            "/book/1",
            {
                "Host": HOST,
                "X-Monsooncroft-Request-Id": request,
                "X-Monsooncroft-Deadline-Ms": "3000",
            },
        )
        bed.record.write(f"answer {request} from {instance.name}: {status}")

    async def clients():
        number = 0
        while True:
            number += 1
            for instance in bed.instances:
                for copy in "ab":
                    bed.tasks.append(
                        asyncio.create_task(
                            ask(instance, f"{instance.name}-{number}{copy}")
                        )
                    )
            await asyncio.sleep(0.2)

    load = asyncio.create_task(clients())
    await asyncio.sleep(2)
    note(f"watch the registrations: {bed.store.watchers('servers/')}")
    if trouble:
        bed.store.silence_idle_connections()
        note("the connections of waiting watches are silent from now on")
    await asyncio.sleep(STABILITY_S + 1)
    leaf = bed.leaves[0]
    await leaf.drain()
    ack = time.monotonic()
    note(f"{leaf.id}: draining, acknowledged")
    await asyncio.sleep(9)
    await leaf.leave()
    load.cancel()
    await asyncio.gather(*bed.tasks, return_exceptions=True)

    late = []
    last = 0.0
    for request, runs in bed.runs.items():
        for at, by in runs:
            if by is leaf and at > ack:
                last = max(last, at - ack)
                if sent[request][0] > ack + DRAIN_S:
                    late.append(request)
    note(f"last request reached {leaf.id} {last:.1f} s after the acknowledgement")
    note(f"requests sent over {DRAIN_S:.0f} s after it that it ran: {len(late)}")
    return bool(late)


beds.run(main)
