"""A client that sends set-ups with ids known to no host, at full speed, takes the controller over its memory limit."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import (P_CLASS, P_FIGURES, P_TASK, P_WAIT, SETUP, Rig, encode, run_case)  # noqa: E402

MEMORY_MB = 192          # the most that a scored day allows
BAD_CLIENT_S = 5.0       # how long the bad client sends
LENGTH_S = 20.0
BATCH = 500


def resident_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def enforce_memory(rig, controller, peak):
    """The platform: over `memory_mb` the controller is killed."""
    while controller.process.returncode is None:
        used = resident_mb(controller.process.pid)
        peak[0] = max(peak[0], used)
        if used > MEMORY_MB:
            rig.record("platform", "memory limit exceeded", used_mb=round(used, 1), limit_mb=MEMORY_MB)
            rig.killed_for_memory = True
            controller.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


async def usual_traffic(rig, owner, sent):
    number = 0
    while owner.is_open and rig.record.now() < LENGTH_S:
        number += 1
        sent.append(owner.request(rig.ident(), "web-fill", 8000, f"{number:016x}", f"{number % 8:016x}"))
        await asyncio.sleep(0.08)


async def bad_client(rig):
    """Sends at full speed, as fast as the controller reads, and reads whatever it is sent."""
    host, port = rig.listen.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))

    async def read():
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass
    rig.spawn(read())
    loop = asyncio.get_running_loop()
    until, sent, size = loop.time() + BAD_CLIENT_S, 0, 0
    rig.record("bad-client", "starts to send set-ups with ids known to no host")
    try:
        while loop.time() < until:
            frames = b"".join(
                encode(SETUP, 0x90000000 + number,
                       [(P_CLASS, "web-fill"), (P_WAIT, "8000"), (P_TASK, f"{number:016x}"),
                        (P_FIGURES, f"cores:1;memory:2;service:{number % 50:016x};at:s-{0x10000000 + number:08x}")])
                for number in range(sent, sent + BATCH))
            writer.write(frames)
            await writer.drain()
            sent, size = sent + BATCH, size + len(frames)
            await asyncio.sleep(0)
    except OSError:
        pass
    rig.record("bad-client", "stops", sent=sent, megabytes=round(size / 1e6, 1))
    writer.close()


async def case(folder, trouble):
    async with Rig(folder, hosts=10, cells=5, memory_mb=MEMORY_MB, sockets=1024, life_s=15.0) as rig:
        rig.killed_for_memory = False
        controller = await rig.start_controller()
        peak, sent = [0.0], []
        rig.spawn(enforce_memory(rig, controller, peak))
        owner = await rig.owner("owner-1")
        await owner.test()
        rig.spawn(usual_traffic(rig, owner, sent))
        await asyncio.sleep(3.0)
        if trouble:
            await bad_client(rig)
        while rig.record.now() < LENGTH_S and controller.process.returncode is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)
        code = controller.process.returncode
        rig.record("judge", "peak of the controller's memory", megabytes=round(peak[0], 1))
        unanswered = [r for r in sent if not r.answers or r.answers[0][1] == "closed"]
        rig.record("judge", "usual set-ups", sent=len(sent), unanswered=len(unanswered))
        if rig.killed_for_memory:
            return [f"the controller used {peak[0]:.0f} MB of {MEMORY_MB} MB and was killed for it; "
                    f"{len(unanswered)} of {len(sent)} usual set-ups open at that moment got no answer"]
        return [f"the controller ended by itself with code {code}"] if code is not None else []


sys.exit(run_case(case, FOLDER))
