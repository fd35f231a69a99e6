"""A large job of many small tasks comes; do the other jobs still run?"""
import asyncio
import os

import case
from world import now, route

FINISH_S = 14
LARGE = {"count": 12000, "cpu": 10, "mem_mb": 10, "estimated_ms": 1000}
SMALL = {"count": 4, "cpu": 1000, "mem_mb": 500, "estimated_ms": 300}


def running(world, identity):
    return sum(run.task.startswith(identity) for worker in world.workers.values()
               for run in worker.running.values())


def has_room(world):
    """Returns whether there is capacity for a small job twice over, and under half is in use."""
    total = sum(worker.capacity["cpu"] for worker in world.workers.values())
    used = sum(worker.used("cpu") for worker in world.workers.values())
    slots = sum(min((worker.capacity["cpu"] - worker.used("cpu")) // SMALL["cpu"],
                    (worker.capacity["mem_mb"] - worker.used("mem_mb")) // SMALL["mem_mb"])
                for worker in world.workers.values())
    return slots >= 2 * SMALL["count"] and used < total / 2


async def play(world):
    for index in range(8):
        world.add_worker(index, zone=f"z{index % 2 + 1}", rack=f"r{index % 2}")
    for index in range(3):
        world.add_instance(index, zone=f"z{index % 2 + 1}")
    world.configure([route("quick", 0, 3), route("bulk", 2, 2)])
    if not await world.start():
        return case.COULD_NOT_RUN
    small = []

    async def submit_small():
        identity, status = await world.submit("quick", [SMALL])
        if status == 200:
            small.append(identity)

    for _ in range(4):
        await submit_small()
        await asyncio.sleep(0.5)
    await asyncio.sleep(2)
    for identity in small:
        if (await world.ask("GET", identity))[1] != "completed":
            return case.COULD_NOT_RUN
    if case.trouble():
        large, status = await world.submit("bulk", [LARGE])
        world.note("case", large=large, status=status)
    for _ in range(8):
        await asyncio.sleep(0.5)
        await submit_small()
    world.note("case", event="end of the traffic")
    await asyncio.sleep(FINISH_S)
    # For 3 s: jobs with nothing running whose turn has come, with room for them.
    stuck = set(small)
    until = now() + 3.2
    while now() < until:
        if not has_room(world):
            stuck.clear()
        for identity in list(stuck):
            done = all(f"{identity}.0.0.{index}" in world.judge.done
                       for index in range(SMALL["count"]))
            if done or running(world, identity):
                stuck.discard(identity)
        await asyncio.sleep(0.05)
    for identity in small:
        status, state = await world.ask("GET", identity)
        world.note("case", job=identity, status=status, state=state, stuck=identity in stuck)
    for identity in stuck:
        world.judge.breaks("LOST", job=identity, why="nothing of an accepted job runs")
    print(f"{len(small)} small jobs accepted, {len(stuck)} of them with nothing running "
          f"{FINISH_S} s after the end of the traffic")
    return case.BROKEN if stuck else case.HELD


case.run(os.path.dirname(os.path.abspath(__file__)), play)
