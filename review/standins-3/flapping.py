"""One worker of a fleet goes down and up by turns while a job that needs it waits to be done."""
import asyncio
import os
import time

from standin import World

JOB = "5c0e7a21d94b36f8"
WORK_MS = 2000  # of the job's one task
FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0


class Outcome:
    def __init__(self):
        self.states = []  # what the instances say FINISH_S after the end of the traffic
        self.idle = False  # nothing of the job ran for IDLE_S from then on, or it was not done
        self.failed_ends = 0
        self.crashed_runs = 0
        self.accepted = False


async def play(world, workers, period_s, for_s):
    """The job is handed in while all is well; then the only worker of its kind flaps for a while."""
    for number in range(workers):
        world.add_worker(kind="b" if number == 0 else "a")
    for _ in range(3):
        world.add_instance()
    if not await world.begin():
        return None
    outcome = Outcome()
    record = world.record
    only = world.workers[0]
    answers = await world.client.submit(
        JOB, str(WORK_MS), [{"count": 1, "cpu": 4000, "mem_mb": 2000, "estimated_ms": WORK_MS, "requirements": "b"}])
    outcome.accepted = answers[-1] == 200
    if os.environ.get("TROUBLE", "1") != "0":
        begun = time.monotonic()
        while time.monotonic() - begun < for_s:
            await asyncio.sleep(period_s / 2)
            outcome.crashed_runs += len(only.running)
            only.crash()
            await asyncio.sleep(period_s / 2)
            await only.begin()
        record.line("platform", f"{only.name} stays up from here on; {workers} workers, no other disruption")
    else:
        await asyncio.sleep(for_s)
    record.line("client", f"the traffic has ended; the job is asked for {FINISH_S:.0f} s later")
    await asyncio.sleep(FINISH_S)
    starts = sum(len(worker.starts) for worker in world.workers)
    for instance in world.instances:
        outcome.states.append(await world.client.state(JOB, quiet=False, instance=instance))
    idle_since = time.monotonic()
    while time.monotonic() - idle_since < IDLE_S and not any(worker.running for worker in world.workers):
        await asyncio.sleep(0.02)
    started = sum(len(worker.starts) for worker in world.workers) > starts
    outcome.idle = time.monotonic() - idle_since >= IDLE_S and not started
    state = await world.client.state(JOB, quiet=False)
    outcome.idle = outcome.idle and state in ("queued", "running")
    outcome.failed_ends = sum(how == "failed" for worker in world.workers for _, _, _, how, _ in worker.ends)
    used = sum(worker.cpu for worker in world.workers if worker.up)
    record.line("check", f"states {outcome.states}, then {state}; runs that ended 'failed': {outcome.failed_ends}; "
                f"runs lost with a crashed worker: {outcome.crashed_runs}; idle for {IDLE_S:.0f} s: {outcome.idle}; "
                f"free: {only.cpu} thousandths of a core on {only.name}, {used} in all; the task needs 4000")
    return outcome


def run(folder, workers, period_s, for_s, judge):
    """Plays the case; judge(outcome) says what is broken, or nothing. Returns the exit status."""
    repository = os.path.dirname(os.path.dirname(os.path.abspath(folder)))
    world = World(repository, os.path.join(folder, "record.txt"))

    async def guarded():
        try:
            return await asyncio.wait_for(play(world, workers, period_s, for_s), 100)
        finally:
            world.end()

    outcome = asyncio.run(guarded())
    if outcome is None or not outcome.accepted:
        print("the case couldn't run: the instances were not ready, or the job was not accepted")
        return 2
    broken = judge(outcome)
    world.record.line("check", broken or "the rule held")
    print(broken or "the rule held")
    return 1 if broken else 0
