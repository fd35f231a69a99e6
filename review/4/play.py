"""The workers of one rack crash three times; is a long-running job there shown as failed?"""
import asyncio
import os

import case
from world import now, route

CRASHES = 3
DOWN_S = 1.0        # The pages allow 4.5 s.
AT_WORK_S = 3.0     # From the start of the tasks until the rack's worker crashes.
WATCH = {"count": 1, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 400, "long_running": True,
         "requirements": "r9"}


def at_work(world, identity):
    return sum(run.task.startswith(identity) and run.stopping_at is None
               for worker in world.workers.values() for run in worker.running.values())


async def wait_until(condition, seconds):
    until = now() + seconds
    while now() < until:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


async def play(world):
    for index in range(10):
        world.add_worker(index, zone=f"z{index % 2 + 1}", rack="r9" if index == 9 else "r1")
    for index in range(3):
        world.add_instance(index, zone=f"z{index % 2 + 1}")
    world.configure([route("quick", 0, 3), route("watch", 0, 3)])
    if not await world.start():
        return case.COULD_NOT_RUN
    await asyncio.sleep(1)
    identity, status = await world.submit("watch", [WATCH])
    if status != 200:
        return case.COULD_NOT_RUN
    worker = list(world.workers.values())[9]
    for _ in range(CRASHES):
        if not await wait_until(lambda: at_work(world, identity) == WATCH["count"], 12):
            break
        await asyncio.sleep(AT_WORK_S)
        if case.trouble():
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start()
    # Calm: what is not cancelled and lasts has to run again and be shown as running.
    await asyncio.sleep(15)
    status, state = await world.ask("GET", identity)
    failed = {run for task, runs in world.judge.failed.items() if task.startswith(identity)
              for run in runs}
    world.note("case", job=identity, status=status, state=state, runs_failed=sorted(failed),
               at_work=at_work(world, identity))
    print(f"the job is {state}, {at_work(world, identity)} of its {WATCH['count']} tasks run; "
          f"{len(failed)} runs ended failed, nobody cancelled it")
    if state == "failed" and not failed:
        world.judge.breaks("LOST", job=identity, why="shown as failed without cause")
        return case.BROKEN
    return case.HELD if state == "running" else case.COULD_NOT_RUN


case.run(os.path.dirname(os.path.abspath(__file__)), play)
