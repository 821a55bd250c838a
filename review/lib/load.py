"""Clients of a stock-check route whose requests must not run twice, and what is checked of them."""

import asyncio

import harness

PROMISES = (408, 421, 429, 503)  # Not run, and never will be.


async def client(world, instance, number, answers, until, think_s, deadline_ms):
    connection = harness.Client(world.record, instance)
    count = 0
    while world.record.now() < until:
        count += 1
        request_id = f"{instance.name}-{number}-{count}"
        answer = await connection.send(request_id, "POST", "/timi402/2f", deadline_ms, b"item=7&take=1")
        answers[request_id] = None if answer is None else answer[0]
        await asyncio.sleep(think_s if answer is not None and answer[0] == 200 else 0.12)
    connection.close()


async def play(world, length_s, clients_per_instance, think_s, deadline_ms=5000):
    """Returns the status of each request; None where the connection ended without an answer."""
    answers = {}
    until = world.record.now() + length_s
    await asyncio.gather(*(
        client(world, instance, number, answers, until, think_s, deadline_ms)
        for instance in world.instances for number in range(clients_per_instance)))
    await asyncio.sleep(1)
    return answers


def check(world, answers, leaves):
    """Returns the ids of the requests that ran twice, and of those that ran though a promise says otherwise."""
    runs = {}
    for leaf in leaves:
        for each, count in leaf.runs.items():
            runs[each] = runs.get(each, 0) + count
    twice = [each for each in answers if runs.get(each, 0) > 1]
    refused = [each for each, status in answers.items() if status in PROMISES and runs.get(each)]
    for rule, broken in (("TWICE", twice), ("REFUSED", refused)):
        for each in broken:
            world.record.write("broken", rule=rule, id=each, runs=runs[each], status=answers[each])
    statuses = {}
    for status in answers.values():
        statuses[str(status)] = statuses.get(str(status), 0) + 1
    print(f"requests {len(answers)}, by status {statuses}, run {len(runs)}")
    print(f"TWICE: {len(twice)} {twice[:3]}")
    print(f"REFUSED: {len(refused)} {refused[:3]}")
    return twice, refused


def stock_route(service, max_attempts):
    return {
        "name": "r-stock", "host": "depot.example", "prefix": "/timi402/", "kind": "unsafe", "timeout_ms": 5000,
        "target_latency_ms": 800, "priority": 2, "max_attempts": max_attempts, "service": service,
    }
