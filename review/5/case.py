"""A leaf sheds a request and sends a second copy of that answer late; the client is told that the request did not run."""

import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import harness
import load
from doubling_leaf import DoublingLeaf


async def scenario(world):
    work = random.Random(7)
    leaves = [
        DoublingLeaf(world.record, "i-depot1", "depot-ledger", "klang", world.leaf_address, world.leaf_port(),
                     work_s=lambda: work.uniform(0.003, 0.008)),
        harness.Leaf(world.record, "i-van1", "van-dispatch", "penang", world.leaf_address, world.leaf_port()),
    ]
    for leaf in leaves:
        await world.add_leaf(leaf)
    await world.start(harness.config(
        7, [load.stock_route("depot-ledger", max_attempts=2)], {"depot-ledger": 34, "van-dispatch": 34}))
    answers = await load.play(world, length_s=40, clients_per_instance=2, think_s=0.03)
    _, refused = load.check(world, answers, leaves)
    print("second copies of an answer:", leaves[0].copies)
    if 200 not in answers.values():
        return harness.EXIT_NOT_RUN
    return harness.EXIT_BROKEN if refused else harness.EXIT_HELD


harness.run(CASE, scenario, instances_per_zone=2)
