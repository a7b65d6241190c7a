"""A planned restart while a host hangs: set-ups that arrived in time are closed without an answer."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import CannotRun, Rig, run_case  # noqa: E402

WAIT_MS = 9500           # the longest deadline of the settings
LAST_REQUEST_S = 0.6     # set-ups may arrive until then after SIGTERM
KILL_S = WAIT_MS / 1000 + 0.7  # SIGKILL comes no sooner after SIGTERM


async def case(folder, trouble):
    async with Rig(folder, hosts=10, cells=5) as rig:
        controller = await rig.start_controller()
        owner = await rig.owner("owner-1")
        await owner.test()
        number = 0

        def request():
            nonlocal number
            number += 1
            return owner.request(rig.ident(), "clause-update", WAIT_MS, f"{number:016x}", f"{number:016x}", cores=8,
                                 memory=19)

        before = []
        for _ in range(12):
            before.append(request())
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        if not all(r.stands for r in before):
            raise CannotRun("not all tasks were placed")
        hanging = max(rig.hosts, key=lambda host: len(host.tasks))
        if trouble:
            hanging.hangs = True
            rig.record(hanging.name, "hangs")

        controller.signal(signal.SIGTERM)
        terminated_at = rig.record.now()
        requests = []
        # Set-ups on the open connection, the last of them before 0.6 s after SIGTERM.
        await asyncio.sleep(0.555)
        while rig.record.now() < terminated_at + LAST_REQUEST_S - 0.015:
            requests.append(request())
            await asyncio.sleep(0.0025)
        if rig.record.now() > terminated_at + LAST_REQUEST_S:
            raise CannotRun("the set-ups were sent too late after SIGTERM")

        while rig.record.now() < terminated_at + KILL_S and controller.process.returncode is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        ended_by_itself = controller.process.returncode is not None
        rig.record("judge", "SIGKILL is due" if not ended_by_itself else "controller has ended by itself",
                   requests=len(requests), at_hanging_host=sum(r.ident in hanging.tasks for r in requests))
        broken = []
        for r in requests:
            sent = r.sent_at - terminated_at
            if not r.answers:
                # What SIGKILL finds unanswered is lost only if it arrived over 0.7 s after SIGTERM; these came earlier.
                rig.record("judge", "unanswered when SIGKILL is due, not held against it", r.ident)
            elif r.answers[0][1] == "closed" and r.answers[0][0] < r.sent_at + r.wait_s:
                broken.append(f"set-up {r.ident:x}, sent {sent:.3f} s after SIGTERM: the controller ended at"
                              f" {r.answers[0][0] - terminated_at:.3f} s and left it unanswered, its time ran to"
                              f" {sent + r.wait_s:.3f} s and SIGKILL was due at {KILL_S:.1f} s")
            elif r.answers[0][0] > r.sent_at + r.wait_s + 0.5:
                broken.append(f"set-up {r.ident:x} was answered over half a second late")
        return broken


sys.exit(run_case(case, FOLDER))
