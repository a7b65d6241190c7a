"""After a long quiet time a host dies. The owner of its tasks connects, but is never told that they are over."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import END, CannotRun, Rig, run_case  # noqa: E402

TASKS = 12
IDLE_CLOSE_S = 4.0       # owners close a connection with nothing open on it
QUIET_S = 20.0           # no traffic before the trouble
REPORTED_LIMIT_S = 1.0   # a release of the host is passed on within this
UNREPORTED_LIMIT_S = 8.0  # an end that no host could report is told within this
SLACK_S = 0.05


async def case(folder, trouble):
    async with Rig(folder, hosts=10, cells=5) as rig:
        await rig.start_controller()
        owner = await rig.owner("owner-1")
        await owner.test()
        requests = []
        for number in range(1, TASKS + 1):
            requests.append(owner.request(rig.ident(), "clause-update", 9500, f"{number:016x}", f"{number % 4:016x}",
                                          cores=8, memory=19))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        if not all(request.stands for request in requests):
            raise CannotRun("not all tasks were placed")

        # Control, with and without the trouble: an ordinary end while the owner is connected is passed on.
        host_of = {ident: host for host in rig.hosts for ident in host.tasks}
        control = requests.pop()
        host_of[control.ident].end(host_of[control.ident].tasks[control.ident])
        try:
            await asyncio.wait_for(control.ended.wait(), REPORTED_LIMIT_S + SLACK_S)
        except asyncio.TimeoutError as error:
            raise CannotRun("the end of the control task was not told") from error

        await asyncio.sleep(IDLE_CLOSE_S - 1.0)
        owner.close()
        await asyncio.sleep(QUIET_S)

        victim = max((host for host in rig.hosts if len(host.tasks) < len(requests)), key=lambda h: len(h.tasks))
        lost = [request for request in requests if request.ident in victim.tasks]
        others = [request for request in requests if request.ident not in victim.tasks]
        if not lost or not others:
            raise CannotRun("the tasks are not on two hosts at least")
        if trouble:
            rig.record(victim.name, "process dies", tasks=len(lost))
            victim.server.close()
            for connection in list(victim.connections):
                connection.transport.abort()
            for task in list(victim.tasks.values()):
                victim.drop(task, "cut with its process")
        died_at = rig.record.now()

        # The owner ends one of its other tasks, over a new connection, and closes that after 4 s as owners do.
        await asyncio.sleep(1.0)
        again = await rig.owner("owner-1")
        again.release(others[0].ident, END)
        await asyncio.sleep(IDLE_CLOSE_S)
        again.close()
        await asyncio.sleep(max(0.0, died_at + UNREPORTED_LIMIT_S + SLACK_S - rig.record.now()))
        late = [r for r in lost if not r.over]
        rig.record("judge", "8 s after the end", over=len(lost), told=len(lost) - len(late))

        # Beyond the rule's time: a further connection, with a set-up on it.
        await asyncio.sleep(2.0)
        third = await rig.owner("owner-1")
        number = TASKS + 1
        later = third.request(rig.ident(), "web-fill", 8000, f"{number:016x}", f"{9:016x}")
        await asyncio.sleep(3.0)
        never = [r for r in lost if not r.over]
        rig.record("judge", "later, with a set-up answered", answered=later.stands, told=len(lost) - len(never))
        if not trouble:
            return []
        return [f"task {r.name} (set-up {r.ident:x}) was over with its host and its owner not told within 8 s, nor later,"
                f" though the owner was connected for 4 s" for r in late]


sys.exit(run_case(case, FOLDER))
