"""A leaf runs requests and answers some of them 503 or 429 of its own, without the field that says it did not run."""

import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import harness
import load

FAILURES = 0.04


class BusyLeaf(harness.Leaf):
    """Runs each request; then, for a part of them, what it needs itself is busy."""

    random = random.Random(29)

    async def handle(self, first, fields, body):
        answer = await super().handle(first, fields, body)
        request_id = harness.find(fields, harness.ID)
        if answer.startswith(b"HTTP/1.1 200") and harness.trouble() and self.random.random() < FAILURES:
            status, reason = self.random.choice([(503, "Service Unavailable"), (429, "Too Many Requests")])
            self.record.write("failed_after_run", leaf=self.name, id=request_id, status=status)
            return harness.response(
                status, reason, [(harness.ID, request_id), (harness.STAMP, self.stamp(request_id))], b"ledger busy")
        return answer


async def scenario(world):
    work = random.Random(7)
    # Half of the leaves are faulty.
    leaves = [
        (BusyLeaf if number % 2 == 0 else harness.Leaf)(
            world.record, f"i-depot{number}", "depot-ledger", zone, world.leaf_address, world.leaf_port(), queue=8,
            work_s=lambda: work.uniform(0.02, 0.06))
        for number, zone in enumerate(["klang", "penang", "johor", "klang"])
    ]
    for leaf in leaves:
        await world.add_leaf(leaf)
    await world.start(harness.config(7, [load.stock_route("depot-ledger", max_attempts=2)], {"depot-ledger": 34}))
    answers = await load.play(world, length_s=15, clients_per_instance=3, think_s=0.05)
    _, refused = load.check(world, answers, leaves)
    if 200 not in answers.values():
        return harness.EXIT_NOT_RUN
    return harness.EXIT_BROKEN if refused else harness.EXIT_HELD


harness.run(CASE, scenario, instances_per_zone=2)
