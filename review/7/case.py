"""LOST: tasks that last don't run, with room for them on a sound worker, long after it has stopped to fail its starts."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import HOST, Instance, Worker, World, now_ms, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAULT_S = 4.0
JOBS = 10
# From RULES.md, LOST: from 6 s after its last run, for 3 s, if these and the 4 s before them are calm; to be calm takes contact_ms.
AFTER_RUN_MS, STANDS_MS, CALM_BEFORE_MS, CONTACT_MS = 6000, 3000, 4000, 3000


async def main():
    world = World(os.path.join(HERE, "record.txt"))
    world.attempts = 3
    world.put_config(
        [{"name": "r-watch", "host": HOST, "path_prefix": "/watch/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 2500,
          "priority": 0, "service": "svc", "max_attempts": 3, "stretch": 2.2}],
        [{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}])
    beat = asyncio.ensure_future(world.beat())
    try:
        for number in range(12):
            worker = Worker(world, number, cpu=64000, mem=256000, zone=f"z{number % 3 + 1}", kind="a" if number else "b")
            world.workers.append(worker)
            await worker.start()
        for number in range(3):
            instance = Instance(world, number, f"z{number + 1}")
            world.instances.append(instance)
            await instance.start()
        await asyncio.sleep(4)
        grey = world.workers[0]
        grey.failing = TROUBLE
        world.note(grey.id, "fails all that it starts" if TROUBLE else "is sound")
        fault_end = now_ms() + int(FAULT_S * 1000)
        body = {"spec": "a watch", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 400, "long_running": True, "requirements": "b"}]}
        idents = [f"{0xd0 + number:016x}" for number in range(JOBS)]
        accepted = await asyncio.gather(*[world.submit(world.instances[n % 3], "/watch/", ident, body, others=world.instances) for n, ident in enumerate(idents)])
        if not all(accepted):
            return 2
        if not TROUBLE:
            fault_end = now_ms()
        tasks = [ident + ".0.0.0" for ident in idents]
        idle_since = {task: now_ms() for task in tasks}  # Since the end of the last run, or its acceptance.
        broken, longest = {}, 0
        until = now_ms() + 30000
        while now_ms() < until:
            if grey.failing and now_ms() >= fault_end:
                grey.failing = False
                world.note(grey.id, "is sound again")
            at = now_ms()
            room = grey.cpu - sum(run["cpu"] for run in grey.runs.values()) >= 2 * 1000
            for task in tasks:
                if world.live.get(task):
                    idle_since[task] = None
                    continue
                if idle_since[task] is None or world.ended_at.get(task, 0) > idle_since[task]:
                    idle_since[task] = world.ended_at.get(task, at)
                idle = at - idle_since[task]
                calm = at - STANDS_MS - CALM_BEFORE_MS - CONTACT_MS >= fault_end
                if room and calm and idle >= AFTER_RUN_MS + STANDS_MS:
                    if task not in broken:
                        world.note("LOST", task, "doesn't run,", idle, "ms after its last run,", at - fault_end, "ms after the fault")
                    broken[task] = idle
                    longest = max(longest, idle)
            await asyncio.sleep(0.05)
        running = sum(1 for task in tasks if world.live.get(task))
        print(f"{len(broken)} of {JOBS} tasks that last didn't run for up to {longest} ms after their last run, with room for them; {running} run now")
        for rule, text in world.broken:
            print(rule, text)
        if broken:
            return 1
        return 0 if running == JOBS else 2
    finally:
        beat.cancel()
        world.clean()


sys.exit(run(main))
