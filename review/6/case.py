"""LOST: an accepted job is shown as `failed` though none of its runs has ended `failed`: workers crashed."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import HOST, Instance, Worker, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ATTEMPTS = 5
JOB = "00000000000000a1"


async def main():
    world = World(os.path.join(HERE, "record.txt"))
    world.attempts = ATTEMPTS
    world.put_config(
        [{"name": "r-plan", "host": HOST, "path_prefix": "/plan/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
          "priority": 0, "service": "svc", "max_attempts": ATTEMPTS, "stretch": 2.0}],
        [{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}])
    beat = asyncio.ensure_future(world.beat())
    try:
        for number in range(8):
            worker = Worker(world, number, zone=f"z{number % 3 + 1}", kind="a" if number else "b")
            world.workers.append(worker)
            await worker.start()
        for number in range(3):
            instance = Instance(world, number, f"z{number + 1}")
            world.instances.append(instance)
            await instance.start()
        await asyncio.sleep(4)
        body = {"spec": "a plan", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 4500, "requirements": "b"}]}
        if not await world.submit(world.instances[1], "/plan/", JOB, body, others=world.instances):
            return 2
        # One of eight workers (0.125 of them) crashes and is back a second later, four times; it does not matter what it runs.
        await asyncio.sleep(2)
        for _ in range(4 if TROUBLE else 0):
            await world.workers[0].crash()
            await asyncio.sleep(1.0)
            await world.workers[0].start()
            await asyncio.sleep(3.0)
        state = None
        until = world.time() + 60
        while world.time() < until and state not in ("completed", "failed", "cancelled"):
            status, state = await world.show(world.instances[2], JOB)
            world.note("client: GET", JOB, "->", status, state)
            await asyncio.sleep(0.5)
        print(f"the job is shown as {state}; runs that ended failed: {sum(len(r) for r in world.failed.values())}, attempts allowed: {ATTEMPTS}")
        for rule, text in world.broken:
            print(rule, text)
        if world.broken:
            return 1
        return 0 if state == "completed" else 2
    finally:
        beat.cancel()
        world.clean()


sys.exit(asyncio.run(main()))
