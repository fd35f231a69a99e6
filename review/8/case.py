"""ROUTE: a worker that crashed and is back as another kind is told to start tasks that require its former kind."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import HOST, Instance, Worker, World, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 20


async def main():
    world = World(os.path.join(HERE, "record.txt"))
    world.put_config(
        [{"name": "r-plan", "host": HOST, "path_prefix": "/plan/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
          "priority": 0, "service": "svc", "max_attempts": 2, "stretch": 2.0}],
        [{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}])
    beat = asyncio.ensure_future(world.beat())
    try:
        for number in range(16):
            worker = Worker(world, number, zone=f"z{number % 3 + 1}", kind="ab"[number % 2])
            world.workers.append(worker)
            await worker.start()
        for number in range(3):
            instance = Instance(world, number, f"z{number + 1}")
            world.instances.append(instance)
            await instance.start()
        await asyncio.sleep(4)

        async def hand_in(kind, first):
            # Work of both kinds, more than there is room for.
            for number in range(12):
                ident = f"{0x2000000000000000 + 0x100000 * ord(kind) + 0x1000 * first + number:016x}"
                body = {"spec": "a plan for " + kind, "steps": [{"count": 24, "cpu": 4000, "mem_mb": 256, "estimated_ms": 2500, "requirements": kind}]}
                await world.submit(world.instances[number % 3], "/plan/", ident, body, others=world.instances)
                await asyncio.sleep(0.3)
        clients = [asyncio.ensure_future(hand_in(kind, first)) for kind in "ab" for first in range(4)]
        await asyncio.sleep(3)
        # Two of 16 workers (0.125 of them), one of each kind, crash and are back a second later as the other kind.
        async def crash(worker):
            await worker.crash()
            worker.kind = "b" if worker.kind == "a" else "a"
            await asyncio.sleep(random.uniform(0.5, 2.0))
            await worker.start()  # Registers at once, before it serves its first call.
        for number in range(EVENTS):
            if TROUBLE:
                await asyncio.gather(crash(world.workers[2 * number % 16]), crash(world.workers[(2 * number + 1) % 16]))
                await asyncio.sleep(2.0)
            else:
                await asyncio.sleep(3.5)
        for client in clients:
            await client
        done = len(world.done)
        print(f"{len(world.done)} tasks done, {len(world.broken)} starts on workers of another kind")
        for rule, text in world.broken[:10]:
            print(rule, text)
        if world.broken:
            return 1
        return 0 if done > 100 else 2
    finally:
        beat.cancel()
        world.clean()


sys.exit(run(main))
