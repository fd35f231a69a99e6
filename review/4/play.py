"""Open connections to workers go silent, once; how long are the tasks away that last?"""
import asyncio
import os

import case
from world import now, route

WORKERS = 4
TASKS = 120
AWAY_S = 6.0        # RULES.md: from 6 s after its last run,
CALM_S = 4.0        # if the 4 s before are calm,
STILL_S = 3.0       # for 3 s.
WATCH = {"count": TASKS, "cpu": 2000, "mem_mb": 500, "estimated_ms": 400, "long_running": True}


def running(world):
    return {task for worker in world.workers.values() for task in worker.running}


def room(world):
    """Returns for how many more tasks the workers have room."""
    return sum((worker.capacity["cpu"] - worker.used("cpu")) // WATCH["cpu"]
               for worker in world.workers.values())


async def play(world):
    for index in range(WORKERS):
        world.add_worker(index, zone=f"z{index % 2 + 1}", rack=f"r{index % 2}")
    for index in range(3):
        world.add_instance(index, zone=f"z{index % 2 + 1}")
    world.configure([route("quick", 0, 3), route("watch", 0, 3)])
    if not await world.start():
        return case.COULD_NOT_RUN
    identity, status = await world.submit("watch", [WATCH])
    if status != 200:
        return case.COULD_NOT_RUN
    tasks = {f"{identity}.0.0.{index}" for index in range(TASKS)}
    until = now() + 20
    while now() < until and running(world) != tasks:
        await asyncio.sleep(0.1)
    if running(world) != tasks:
        return case.COULD_NOT_RUN
    await asyncio.sleep(5)
    calm_since = now()
    if case.trouble():
        for worker in world.workers.values():
            world.note("case", worker=worker.name, silent_connections=worker.server.silence())
    last_run = {task: now() for task in tasks}
    worst = {task: 0.0 for task in tasks}
    until = now() + 40
    while now() < until:
        present = running(world)
        for task in tasks:
            if task in present:
                last_run[task] = now()
            elif room(world) >= 2:
                owed_from = max(last_run[task] + AWAY_S, calm_since + CALM_S)
                worst[task] = max(worst[task], now() - owed_from)
        await asyncio.sleep(0.05)
    late = [task for task in sorted(tasks) if worst[task] > STILL_S]
    for task in late[:10]:
        world.judge.breaks("LOST", task=task, why="a task that lasts does not run",
                           still_s=round(worst[task], 2), allowed_s=STILL_S)
    print(f"{len(late)} of {TASKS} tasks that last did not run for up to {max(worst.values()):.1f} s "
          f"beyond {AWAY_S} s after their last run; allowed {STILL_S} s")
    return case.BROKEN if late else case.HELD


case.run(os.path.dirname(os.path.abspath(__file__)), play)
