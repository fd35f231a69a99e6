"""What the scripts of the cases share: a temporary folder, free addresses, exit codes."""
import asyncio
import os
import shutil
import signal
import socket
import sys
import tempfile

from world import ROOT, World

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble():
    """Returns whether the disruption is to happen; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_network():
    """Returns N so that 127.0.N.0/24 has the ports that a case uses free."""
    for network in range(20 + os.getpid() % 100, 250):
        try:
            for host, port in ((2, 8169), (10, 8160), (10, 8161), (10, 8162), (100, 8080)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.0.{network}.{host}", port))
            return network
        except OSError:
            continue
    return None


def run(folder, play, limit=115):
    """Plays play(world) -> exit code in a world of its own, and ends all that it started."""
    if not os.access(os.path.join(ROOT, "target", "godwitfall"), os.X_OK):
        print("target/godwitfall is missing: build by deploy/system.toml first")
        sys.exit(COULD_NOT_RUN)
    network = free_network()
    if network is None:
        print("no free addresses")
        sys.exit(COULD_NOT_RUN)
    temporary = tempfile.mkdtemp(prefix="review-")

    async def whole():
        world = World(temporary, network, seed=1, record=os.path.join(folder, "record.txt"))
        # Also ends what it started when it is told to stop itself.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            return await asyncio.wait_for(play(world), limit)
        except asyncio.TimeoutError:
            print("not finished in time")
            return COULD_NOT_RUN
        finally:
            await world.stop()

    try:
        code = asyncio.run(whole())
    except asyncio.CancelledError:
        code = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print("logs of the instances:", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    print({HELD: "held", BROKEN: "BROKEN"}.get(code, "could not run"))
    sys.exit(code)
