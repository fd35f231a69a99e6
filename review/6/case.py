"""LOST: tasks that last wait for some 20 s, with room for them, after their worker is lost and the coordinator's process is killed."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from world import HOST, Instance, Worker, World, now_ms, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 40
# From RULES.md, LOST: from 6 s after its last run, for 3 s, if these and the 4 s before them are calm; to be calm takes contact_ms.
AFTER_RUN_MS, STANDS_MS, CALM_BEFORE_MS, CONTACT_MS = 6000, 3000, 4000, 3000


async def main():
    world = World(os.path.join(HERE, "record.txt"))
    world.put_config(
        [{"name": "r-watch", "host": HOST, "path_prefix": "/watch/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 2500,
          "priority": 0, "service": "svc", "max_attempts": 3, "stretch": 2.2}],
        [{"name": "svc", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False, "enforces_capacity": True, "spare": False}])
    beat = asyncio.ensure_future(world.beat())
    try:
        for number in range(8):
            worker = Worker(world, number, cpu=64000, mem=256000, zone=f"z{number % 3 + 1}")
            world.workers.append(worker)
            await worker.start()
        for number in range(3):
            instance = Instance(world, number, f"z{number + 1}")
            world.instances.append(instance)
            await instance.start()
        await asyncio.sleep(4)
        # Jobs that last are packed on one worker; a first one shows on which, before anything is disturbed.
        body = {"spec": "a watch", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 400, "long_running": True}]}
        if not await world.submit(world.instances[0], "/watch/", f"{0xdf:016x}", body, others=world.instances):
            return 2
        for _ in range(100):
            await asyncio.sleep(0.1)
            busy = [worker for worker in world.workers if worker.runs]
            if busy:
                break
        if not busy:
            return 2
        await asyncio.sleep(1)
        if TROUBLE:
            busy[0].gone()
        idents = [f"{0xe0 + number:016x}" for number in range(JOBS)]
        if not all(await asyncio.gather(*[world.submit(world.instances[n % 3], "/watch/", i, body, others=world.instances) for n, i in enumerate(idents)])):
            return 2
        tasks = [f"{ident}.0.0.0" for ident in idents]
        accepted = {task: now_ms() for task in tasks}
        await asyncio.sleep(1)
        last = now_ms()
        if TROUBLE:
            record = world.store.topic("keyed.jobs").newest[b"owner"][0]
            owner = next(instance for instance in world.instances if instance.name.encode() in record)
            owner.signal(signal.SIGKILL)
            await owner.wait_end(2)
            await asyncio.sleep(1)
            await owner.start()  # A process that is killed is started again.
            last = now_ms()
        broken = {}
        until = now_ms() + 30000
        while now_ms() < until:
            at = now_ms()
            room = sum(1 for worker in world.workers if worker.alive and worker.cpu - sum(run["cpu"] for run in worker.runs.values()) >= 2000)
            for task in tasks:
                idle = at - max(accepted[task], world.ended_at.get(task, 0))
                calm = at - STANDS_MS - CALM_BEFORE_MS - CONTACT_MS >= last
                if not world.live.get(task) and idle >= AFTER_RUN_MS + STANDS_MS and calm and room:
                    if task not in broken:
                        world.note("LOST", task, "doesn't run,", idle, "ms after it was accepted,", at - last, "ms after the last disturbance;", room, "workers have room for it twice over")
                    broken[task] = (idle, at - last)
            await asyncio.sleep(0.05)
        running = sum(1 for task in tasks if world.live.get(task))
        if broken:
            idle, after = max(broken.values())
            print(f"{len(broken)} of {JOBS} tasks that last hadn't run {idle} ms after they were accepted, {after} ms after the last disturbance")
        print(f"{running} of {JOBS} run now")
        for rule, text in world.broken:
            print(rule, text)
        if broken:
            return 1
        return 0 if running == len(tasks) else 2
    finally:
        beat.cancel()
        world.clean()


sys.exit(run(main))
