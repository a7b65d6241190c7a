"""Bad clients hand over tasks that no host holds, on many connections. The ends of an owner's tasks are not told."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import stand_ins as s

MEMORY_MB, SOCKETS = 32, 256
OWNED_TASKS = 300
BAD_CONNECTIONS, REQUESTS_EACH = 100, 100
FIRST_END_S, LAST_END_S = 8.0, 14.0
# An end that a host has reported is told within 1 s, and 50 ms more on sockets; one that no host could report within 8 s.
TOLD_WITHIN_S = 8.05


async def bad_client(controller, hosts, number):
    """Sends a hundred handovers of tasks that no host holds, and reads whatever it is sent."""
    reader, writer = await asyncio.open_connection("127.0.0.1", controller.port)
    frames = []
    for index in range(REQUESTS_EACH):
        unknown = (0xbad << 48) + (number << 16) + index
        host = hosts[index % len(hosts)].name
        figures = f"cores:0.5;memory:1;service:{unknown:016x};at:{host}"
        frames.append(s.encode(s.SET_UP, unknown, (s.CLASS, "web-fill"), (s.WAIT, "8000"), (s.TASK, f"{unknown:016x}"),
                               (s.FIGURES, figures)))
    try:
        writer.write(b"".join(frames))
        while await reader.read(65536):
            pass
    except ConnectionError:
        pass
    finally:
        writer.close()


async def case(record, trouble):
    choose = random.Random(9)
    hosts = [s.Host(f"s-{n:08x}", record, cell=n // 4) for n in range(10)]
    for host in hosts:
        await host.listen()
    journal = s.Journal(record, [host.entry() for host in hosts])
    await journal.listen()
    controller = s.Controller(record, journal, memory_mb=MEMORY_MB, sockets=SOCKETS)
    try:
        controller.start()
        owner = s.Owner(record)
        await controller.ready(owner)
        # The tasks that stand at the start of the day arrive as soon as the first test is passed.
        tasks, frames = {}, []
        for number in range(OWNED_TASKS):
            host, name = choose.choice(hosts), f"{0x7f3a9c21e0b40000 + number:016x}"
            ident, frame = owner.set_up("web-fill", name, 8000, at=host.name, service=f"{number // 10:016x}")
            task = tasks[ident] = host.adopt(ident, name, "web-fill")
            frames.append(frame)
            s.later(choose.uniform(FIRST_END_S, LAST_END_S), lambda host=host, task=task: end(host, task))
        ended = {}

        def end(host, task):
            ended[task.ident] = time.monotonic()
            host.end(task)

        owner.connection.send(b"".join(frames))
        await asyncio.sleep(2)
        if trouble:
            for number in range(BAD_CONNECTIONS):
                s.keep(asyncio.ensure_future(bad_client(controller, hosts, number)))
                await asyncio.sleep(0.01)
            record.line(f"{BAD_CONNECTIONS} bad clients have sent {REQUESTS_EACH} handovers each")
        await asyncio.sleep(LAST_END_S + TOLD_WITHIN_S)
        if not controller.is_alive():
            raise s.NotRun("the controller has ended")
        late = []
        for ident, at in ended.items():
            told = [told for told, message in owner.of(ident) if message.kind == s.RELEASE]
            if not told or told[0] - at > TOLD_WITHIN_S:
                late.append(ident)
                record.line(f"the end of {ident:016x} was not told, {time.monotonic() - at:.1f} s after its host said it")
        record.say(f"{len(ended)} of {OWNED_TASKS} tasks ended, the ends of {len(late)} were not told; the owner's "
                   f"connection is {'open' if owner.connection.is_open else 'closed'}")
        return not late
    finally:
        controller.remove()


s.main(case, FOLDER)
