"""MIXED: machines in touch give 0 as `waiting` while accepted jobs wait of which no task has started."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import BOUNDS, HOST, Instance, Worker, World, call, now_ms, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 5.5  # Of one worker of eight.
JOBS = 12


async def main():
    world = World(os.path.join(HERE, "record.txt"))
    world.put_config(
        [{"name": "r-plan", "host": HOST, "path_prefix": "/plan/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
          "priority": 0, "service": "svc", "max_attempts": 2, "stretch": 2.0}],
        [{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}])
    beat = asyncio.ensure_future(world.beat())
    try:
        for number in range(8):
            worker = Worker(world, number, zone=f"z{number % 3 + 1}")
            world.workers.append(worker)
            await worker.start()
        for number in range(3):
            instance = Instance(world, number, f"z{number + 1}")
            world.instances.append(instance)
            await instance.start()
        await asyncio.sleep(4)

        async def hand_in(ident, cpu, length):
            body = {"spec": "a plan", "steps": [{"count": 1, "cpu": cpu, "mem_mb": 256, "estimated_ms": length}]}
            return await world.submit(world.instances[int(ident, 16) % 3], "/plan/", ident, body, others=world.instances)
        # Seven workers have work for a minute, one is free.
        await asyncio.gather(*[hand_in(f"{0xa0 + number:016x}", 16000, 60000) for number in range(7)])
        await asyncio.sleep(2)
        free = [worker for worker in world.workers if not worker.runs]
        if len(free) != 1:
            return 2
        if TROUBLE:
            free[0].silent = now_ms() + int(CUT_S * 1000)
            world.note(free[0].id, "is cut off for", CUT_S, "s")
        accepted = await asyncio.gather(*[hand_in(f"{0xb0 + number:016x}", 1000, 500) for number in range(JOBS)])
        if not all(accepted):
            return 2
        wrong = {}
        answers = 0
        until = now_ms() + 20000
        while now_ms() < until:
            for instance in world.instances:
                # Accepted over visible_ms + 2 s before, and no task of it has started.
                old = now_ms() - BOUNDS["visible_ms"] - 2000
                before = {ident for ident, job in world.jobs.items() if job["accepted"] and job["accepted"] < old}
                status, answer = await call(instance.front, "GET", "/plan/")
                begun = {task.split(".")[0] for task in world.live} | {task.split(".")[0] for task in world.done}
                left = len(before - begun)
                answers += status == 200
                if status == 200 and answer["waiting"] * 2 < left:
                    wrong.setdefault(instance.name, []).append((now_ms(), answer["waiting"], left))
                    world.note("client: GET /plan/ at", instance.name, "->", status, answer, "though of", left, "jobs nothing has started")
            if len(world.done) == JOBS:
                break
            await asyncio.sleep(0.05)
        for name, seen in wrong.items():
            print(f"{name}: {len(seen)} answers in {seen[-1][0] - seen[0][0]} ms with under half of the jobs that wait, such as {seen[0][1]} of {seen[0][2]}")
        print(f"{answers} answers; {len(world.done)} of {JOBS} jobs done")
        for rule, text in world.broken:
            print(rule, text)
        if wrong:
            return 1
        return 0 if len(world.done) == JOBS else 2
    finally:
        beat.cancel()
        world.clean()


sys.exit(run(main))
