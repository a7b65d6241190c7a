"""A keyed task is sent again after its hosts have forgotten its key, because a connection comes up late."""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import stand_ins as s

WINDOW_S = 6.0
DEADLINE_MS = 8000
# The rules' time limits are 50 ms longer on sockets.
SOCKET_SLACK_S = 0.05
ERROR_AFTER_S = 3.4
# The connections that are opened after the refusal come up late; their hosts take them from this time on.
LATE_UNTIL_S = 6.4


class LateListener:
    """Takes no connection for a while: its queue is full, so that the kernel drops what asks for one."""

    def __init__(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(0)
        self.fillers = []
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self.fillers.append(filler)

    def close(self):
        for filler in self.fillers:
            filler.close()


async def case(record, trouble):
    settings = s.settings_copy()
    settings["classes"][1].update(deadline=DEADLINE_MS * 1000, window=int(WINDOW_S * 1e6), group="all", objective=700000)
    settings["caps"].update({"max-attempts": 3, "dial-timeout": 1500000})
    settings["specifics"]["apart-by"][1] = "off"
    hosts = [s.Host(f"s-{n:08x}", record) for n in range(4)]
    loop = asyncio.get_running_loop()
    copies, sent = [], []
    late = {}
    first_at = [None]

    def make_late():
        """From now on new connections to hosts come up late."""
        for host in hosts:
            host.server.close()
            late[host] = LateListener(host.port)
        record.line("new connections to hosts come up late from now on")

    async def take_connections():
        await asyncio.sleep(first_at[0] + LATE_UNTIL_S - loop.time())
        record.line("hosts take new connections again")
        for host, listener in late.items():
            listener.close()
            listener.socket.listen(100)
            listener.socket.setblocking(False)
            host.server = await asyncio.start_server(host.serve, sock=listener.socket)

    def on_set_up(host):
        def act(message, connection):
            now = loop.time()
            key = message.parameters[s.KEY]
            sent.append(now)
            number = len(sent)
            first_at[0] = first_at[0] or now
            age = now - first_at[0]
            record.line(f"{host.name}: attempt {number} of key {key.decode()}, {age:.3f} s after the first")
            if number == 1:
                copies.append(now)
                record.line(f"{host.name} starts the task, and reports an error {ERROR_AFTER_S} s later")
                s.later(ERROR_AFTER_S, lambda: connection.send(s.release(message.ident, 47)))
            elif number == 2:
                connection.send(s.release(message.ident, 34, (s.REASON, "no_cores"), (s.REPORT, "x0:0;x1:0;queue:9")))
                record.line(f"{host.name} refuses: full")
                if trouble:
                    make_late()
                    s.keep(asyncio.ensure_future(take_connections()))
            elif age <= WINDOW_S + SOCKET_SLACK_S:
                connection.send(s.release(message.ident, 34, (s.REASON, "not_here")))
                record.line(f"{host.name} knows the key: a copy stands, refused")
            else:
                copies.append(now)
                record.line(f"{host.name} has forgotten the key: it starts a second copy")
                host.start_task(message, connection)
        return act

    for host in hosts:
        host.on_set_up = on_set_up(host)
        await host.listen()
    journal = s.Journal(record, [host.entry() for host in hosts])
    await journal.listen()
    controller = s.Controller(record, journal, settings)
    try:
        controller.start()
        owner = s.Owner(record)
        await controller.ready(owner)
        await asyncio.sleep(0.5)
        ident = owner.request("doc-render", "7f3a9c21e0b4d655", DEADLINE_MS, key="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        answer = await owner.answer_to(ident, DEADLINE_MS / 1000 + 1)
        await asyncio.sleep(0.5)
        if not controller.is_alive():
            raise s.NotRun("the controller has ended")
        if len(sent) < 2:
            raise s.NotRun("there was no second attempt")
        record.say(f"answer: {answer}; attempts after {[f'{at - sent[0]:.3f} s' for at in sent]}; copies: {len(copies)}")
        return all(at - sent[0] <= WINDOW_S + SOCKET_SLACK_S for at in sent)
    finally:
        controller.remove()
        for listener in late.values():
            listener.close()


s.main(case, FOLDER)
