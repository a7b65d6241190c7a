"""Small stand-ins of the platform for the cases in review/: owners, hosts and the journal service.

Everything runs in one asyncio loop and listens on loopback addresses only. The controller is the project's own program,
started with the `run` command of deploy/balancer.toml as a separate process. Standard library only.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import struct
import tempfile
import time

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
P_CLASS, P_WAIT, P_RETRY, P_TASK, P_FIGURES, P_NOTE, P_REPORT = 3, 4, 6, 7, 8, 10, 12
P_KEY, P_CAUSE, P_DESCRIPTION = 16, 17, 18
END, CALLED_OFF, FULL, CUT, TURNED_AWAY, ERROR, MOOT = 16, 31, 34, 41, 42, 47, 102
REFUSALS = (FULL, TURNED_AWAY, MOOT)
KIND_NAMES = {1: "set-up", 6: "progress", 9: "answer", 12: "release", 16: "heard", 44: "note", 51: "move", 52: "test",
              53: "tested"}

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be carried out; nothing is said about the rule."""


def encode(kind, ident, parameters=()):
    body = struct.pack(">BQ", kind, ident)
    for code, value in parameters:
        value = value.encode() if isinstance(value, str) else value
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def release(ident, cause):
    return encode(RELEASE, ident, [(P_CAUSE, bytes([cause]))])


class Message:
    def __init__(self, body):
        self.kind, self.ident = struct.unpack(">BQ", body[:9])
        self.parameters, at = {}, 9
        while at < len(body):
            code, length = struct.unpack(">BH", body[at:at + 3])
            self.parameters.setdefault(code, body[at + 3:at + 3 + length])
            at += 3 + length

    def text(self, code):
        return self.parameters.get(code, b"").decode(errors="replace")

    @property
    def cause(self):
        value = self.parameters.get(P_CAUSE, b"")
        return value[0] if len(value) == 1 else None


async def read_message(reader):
    """The next message, or None at the end of the connection."""
    try:
        length = struct.unpack(">H", await reader.readexactly(2))[0]
        return Message(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class Record:
    """Writes record.txt: one line for each message, with the time in seconds since the start of the record."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def __call__(self, who, what, ident=None, **fields):
        ident = "" if ident is None else f" {ident:016x}"
        more = "".join(f" {name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started:9.4f} {who:<12} {what}{ident}{more}\n")

    def now(self):
        return time.monotonic() - self.started


class Task:
    def __init__(self, ident, name, connection):
        self.ident, self.name, self.connection = ident, name, connection
        self.state = "starting"
        self.handle = None


class Host:
    """A host: starts what it accepts, reports ends, and passes tests.

    While `hangs` is set it takes work and answers nothing. Tests still pass, since they show only that the connection
    works.
    """

    def __init__(self, rig, name, cell, start_s=0.05, life_s=600.0):
        self.rig, self.name, self.cell, self.start_s, self.life_s = rig, name, cell, start_s, life_s
        self.hangs = False
        self.connections, self.tasks, self.unheard = [], {}, []
        self.started = []
        self.server = self.address = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def entry(self, state="active", started_ms=0):
        return {"id": self.name, "addr": self.address, "zone": "room", "kind": "node-small", "cell": self.cell,
                "state": state, "weight": 1, "started_ms": started_ms, "room": [50.0, 90.0]}

    async def serve(self, reader, writer):
        self.rig.record(self.name, "connection accepted")
        self.connections.append(writer)
        for frame, ident in self.unheard:
            self.rig.record(self.name, "release repeated", ident)
            self.write(writer, frame)
        self.unheard = []
        while (message := await read_message(reader)) is not None:
            self.on_message(writer, message)
        self.rig.record(self.name, "connection ended")
        if writer in self.connections:
            self.connections.remove(writer)
        for task in list(self.tasks.values()):
            if task.connection is writer and task.state == "starting":
                self.drop(task, "given up with its connection")
        writer.close()

    def write(self, writer, frame):
        if not self.hangs and not writer.is_closing():
            writer.write(frame)

    def on_message(self, writer, message):
        if message.kind == TEST:
            if not writer.is_closing():
                writer.write(encode(TESTED, message.ident, [(P_CAUSE, b"\x01")]))
        elif message.kind == SETUP:
            self.rig.record(self.name, "set-up read", message.ident, task=message.text(P_TASK),
                            wait=message.text(P_WAIT))
            task = Task(message.ident, message.text(P_TASK), writer)
            self.tasks[message.ident] = task
            loop = asyncio.get_running_loop()
            task.handle = loop.call_later(self.start_s, self.start, task)
        elif message.kind == RELEASE:
            self.rig.record(self.name, "release read", message.ident, cause=message.cause)
            task = self.tasks.get(message.ident)
            if task:
                self.drop(task, "released by the controller")

    def drop(self, task, why):
        self.rig.record(self.name, "task dropped", task.ident, state=task.state, why=f"'{why}'")
        if task.handle:
            task.handle.cancel()
        self.tasks.pop(task.ident, None)

    def start(self, task):
        if self.hangs:
            return
        task.state = "standing"
        self.started.append((task.name, task.ident))
        self.rig.record(self.name, "task stands", task.ident, task=task.name)
        description = f"host:{self.name};task:{task.name}"
        self.write(task.connection, encode(ANSWER, task.ident, [(P_DESCRIPTION, description)]))
        task.handle = asyncio.get_running_loop().call_later(self.life_s, self.end, task)

    def end(self, task, cause=END):
        """The task is over. Told over the connection of its set-up, else any open one, and over the next opened one."""
        task.state = "over"
        self.tasks.pop(task.ident, None)
        if task.handle:
            task.handle.cancel()
        self.rig.record(self.name, "task over", task.ident, cause=cause)
        frame = release(task.ident, cause)
        open_ones = [c for c in self.connections if not c.is_closing()]
        over = task.connection if task.connection in open_ones else (open_ones[0] if open_ones else None)
        if over is not None and not self.hangs:
            self.rig.record(self.name, "release sent", task.ident, cause=cause)
            self.write(over, frame)
        self.unheard.append((frame, task.ident))

    def rename(self, task, ident):
        """A task that is handed over goes by the id of the handover from then on."""
        self.tasks.pop(task.ident, None)
        task.ident = ident
        self.tasks[ident] = task

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


class Journal:
    """The journal service: `tail N`, then every later event, and the last number each second."""

    def __init__(self, rig):
        self.rig, self.events, self.writers = rig, [], []
        self.server = self.address = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def add(self, entries, full=False, tell=True):
        pos = len(self.events) + 1
        event = {"pos": pos, "hosts": {"version": pos, "full": full, "servers": entries}}
        self.events.append(event)
        states = ",".join(f"{e['id']}:{e['state']}" for e in entries)
        self.rig.record("journal", "event", pos=pos, hosts=states)
        if tell:
            for writer in self.writers:
                writer.write(json.dumps(event).encode() + b"\n")
        return event

    async def serve(self, reader, writer):
        line = await reader.readline()
        if not line.startswith(b"tail "):
            writer.close()
            return
        last = int(line[5:])
        self.rig.record("journal", "called", tail=last)
        try:
            for event in self.events[last:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.append(writer)
            while not writer.is_closing():
                writer.write(f"{len(self.events)}\n".encode())
                await writer.drain()
                await asyncio.sleep(1.0)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Request:
    def __init__(self, ident, name, sent_at, wait_s, connection):
        self.ident, self.name, self.sent_at, self.wait_s, self.connection = ident, name, sent_at, wait_s, connection
        self.answers = []          # (time, "answer" | "refused" | "failed" | "closed")
        self.over = []             # (time, cause) after the answer
        self.answered, self.ended = asyncio.Event(), asyncio.Event()

    @property
    def stands(self):
        return any(what == "answer" for _, what in self.answers)


class Owner:
    """One connection of an owner to the controller. Requests of all owners are kept by id in the rig."""

    def __init__(self, rig, name):
        self.rig, self.name = rig, name
        self.is_open = False

    async def connect(self, timeout=2.0):
        host, port = self.rig.listen.split(":")
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        except (OSError, asyncio.TimeoutError) as error:
            raise CannotRun(f"{self.name} cannot connect to the controller: {error}") from error
        self.is_open = True
        self.rig.spawn(self.receive())
        return self

    async def test(self):
        """A test of the controller, as the front makes it after a start."""
        self.tested = asyncio.Event()
        self.writer.write(encode(TEST, 1, [(P_CAUSE, b"\x00")]))
        await asyncio.wait_for(self.tested.wait(), 2.0)

    def request(self, ident, kind, wait_ms, name, service, key=None, cores=1, memory=2, retry=False, at=None):
        figures = f"cores:{cores};memory:{memory};service:{service}" + (f";at:{at}" if at else "")
        parameters = [(P_CLASS, kind), (P_WAIT, str(wait_ms))]
        if retry:
            parameters.append((P_RETRY, "1"))
        parameters.append((P_TASK, name))
        if key:
            parameters.append((P_KEY, key))
        parameters.append((P_FIGURES, figures))
        request = Request(ident, name, self.rig.record.now(), wait_ms / 1000, self)
        self.rig.requests[ident] = request
        self.rig.record(self.name, "set-up sent", ident, klass=kind, wait=wait_ms, task=name,
                        **({"at": at} if at else {}))
        if at:
            request.answers.append((request.sent_at, "answer"))
        self.writer.write(encode(SETUP, ident, parameters))
        return request

    def release(self, ident, cause=END):
        self.rig.record(self.name, "release sent", ident, cause=cause)
        self.writer.write(release(ident, cause))

    async def receive(self):
        while (message := await read_message(self.reader)) is not None:
            if message.kind == TESTED:
                self.tested.set()
                continue
            self.rig.record(self.name, KIND_NAMES.get(message.kind, str(message.kind)) + " read", message.ident,
                            **({"cause": message.cause} if message.cause is not None else {}),
                            **({"description": message.text(P_DESCRIPTION)} if P_DESCRIPTION in message.parameters
                               else {}))
            request = self.rig.requests.get(message.ident)
            if request is None:
                continue
            now = self.rig.record.now()
            if message.kind == ANSWER:
                request.answers.append((now, "answer"))
                request.answered.set()
            elif message.kind == RELEASE and not request.stands:
                request.answers.append((now, "refused" if message.cause in REFUSALS else "failed"))
                request.answered.set()
            elif message.kind in (RELEASE, MOVE):
                request.over.append((now, message.cause))
                request.ended.set()
        self.rig.record(self.name, "connection ended")
        self.is_open = False
        for request in self.rig.requests.values():
            if request.connection is self and not request.answers:
                request.answers.append((self.rig.record.now(), "closed"))
                request.answered.set()
        self.writer.close()

    def close(self):
        if self.is_open:
            self.writer.close()


class Controller:
    """The controller, started with the deploy file's `run` from the root of the repository."""

    def __init__(self, rig, log=None):
        self.rig, self.log, self.process = rig, log, None

    async def start(self):
        rig = self.rig
        command = re.search(r'^run = "(.*)"$', open(os.path.join(ROOT, "deploy/balancer.toml")).read(), re.M).group(1)
        environment = dict(os.environ, LB_NAME=rig.name, LB_LISTEN=rig.listen, LB_CONFIG=rig.config_path, TMPDIR=rig.temp)
        environment.setdefault("RUST_LOG", "peppercove=info,peppercove_serve=info,info")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=rig.log, stderr=rig.log, start_new_session=True)
        rig.record("controller", "started", pid=self.process.pid)
        self.rig.spawn(self.watch())
        host, port = rig.listen.split(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return self
            except OSError:
                await asyncio.sleep(0.02)
            if self.process.returncode is not None:
                break
        raise CannotRun("the controller did not get ready; see controller.log")

    async def watch(self):
        code = await self.process.wait()
        self.rig.record("controller", "ended", code=code)

    def signal(self, number):
        self.rig.record("controller", "signal sent", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()


def settings(**changes):
    """Settings of a small deployment, in the names of the platform. Times are in microseconds."""
    value = {
        "areas": ["room"], "flavors": ["node-small"], "family": "place", "fleet-size": 1, "layers": ["fleet"],
        "my-zone": 0, "self-index": 0, "stage": 0, "tenants": [], "tick": 2000, "registry-mode": "on_request",
        "over-share-worth": 0.1, "value-by": "work", "weight-source": "off",
        "caps": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 850000, "dial-timeout": 250000, "keepalive": 30000000,
                 "max-attempts": 4, "max-retry-after": 3000000, "may-cancel": True, "may-duplicate": False,
                 "most-held": 100000, "multiplex": 1048576, "peer-messages": False, "probes": False,
                 "retry-after": False},
        "classes": [
            {"name": "web-fill", "deadline": 8000000, "group": "all", "lasting": True, "late-worth": 0.2,
             "objective": 800000, "repeat": "idempotent", "window": 5000000, "worth": 1.0},
            {"name": "doc-render", "deadline": 5000000, "group": "cell", "lasting": True, "late-worth": 0.2,
             "objective": 600000, "repeat": "deduplicated", "window": 5000000, "worth": 2.0},
            {"name": "clause-update", "deadline": 9500000, "group": "all", "lasting": True, "late-worth": 0.2,
             "objective": 5500000, "repeat": "at_most_once", "window": 5000000, "worth": 5.0}],
        "clients": {"marks-retry": True},
        "deductions": {"fleet": 0.15, "moves": 0.05, "registry-mode": 0.004, "waste": 0.03},
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "guarantees": {"answer-slack": 8000, "ask-every": 10000000, "cold-from": 0.16, "fall-multiple": 2.5,
                       "stop-sending-within": 250000, "tip-after": 2000000, "warm-within": 18000000},
        "report": {"fields": ["x0", "x1", "cpu", "waiting"], "how": "inline"},
        "specifics": {"accepts-memory": 1.5, "admit-cores": 2.0, "apart-by": ["off", "cell", "off"],
                      "by-service": False, "class-calm": [1.0, 0.8, 0.8], "class-fade": [1.0, 0.2, 0.15],
                      "class-kind": [-1, -1, -1], "class-most": [2, 2, 2], "cold-bears": 28.0, "confirms": "running",
                      "evict-weight": 2.0, "make-sure": 3000000, "makes-room": False, "mean-memory": 2.57,
                      "memory-by-kind": [100.0], "priority-by-class": [0, 1, 1], "report-counts": "asked",
                      "report-x0": "cores not asked for", "report-x1": "memory not asked for",
                      "says-pressure": False, "size-cores": [50], "start-seconds": [12.0, 10.0, 10.0],
                      "tells-use": False, "tenant-quota-cores": [], "turned-down-price": 0.03, "usual-cores": 1.27,
                      "view": True},
    }
    value.update(changes)
    return value


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Rig:
    """One deployment: a journal service, hosts and a controller. Use with `async with`."""

    def __init__(self, folder, hosts=8, cells=4, settings_value=None, memory_mb=192, sockets=1024, **host_options):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="peppercove-review-")
        self.log = open(os.path.join(self.temp, "controller.log"), "wb")
        self.name, self.listen = "n1", f"127.0.0.1:{free_port()}"
        self.settings = settings_value or settings()
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.journal = Journal(self)
        self.hosts = [Host(self, f"s-{i:08x}", i % cells, **host_options) for i in range(1, hosts + 1)]
        self.requests, self.tasks, self.controllers = {}, set(), []
        self.config_path = os.path.join(self.temp, "config.json")
        self.next_ident = 0x1000

    def ident(self):
        self.next_ident += 1
        return self.next_ident

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write_config(self, journal=None):
        config = {"name": self.name, "listen": self.listen, "seed": f"{int(time.time() * 1e6):016x}",
                  "limits": self.limits, "journal": (journal or self.journal).address,
                  "known": {"pos": len(self.journal.events), "entries": self.journal.events},
                  "settings": self.settings}
        temporary = self.config_path + ".new"
        with open(temporary, "w") as file:
            json.dump(config, file)
        os.replace(temporary, self.config_path)

    async def __aenter__(self):
        await self.journal.listen()
        for host in self.hosts:
            await host.listen()
        self.journal.add([host.entry() for host in self.hosts], full=True)
        return self

    async def start_controller(self):
        self.write_config()
        controller = Controller(self)
        self.controllers.append(controller)
        return await controller.start()

    async def owner(self, name):
        return await Owner(self, name).connect()

    async def __aexit__(self, *_):
        for controller in self.controllers:
            controller.kill()
        for controller in self.controllers:
            if controller.process:
                await controller.process.wait()
        self.journal.close()
        for host in self.hosts:
            host.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0.05)
        self.log.close()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(os.path.join(self.temp, "controller.log"), os.path.join(self.folder, "controller.log"))
        shutil.rmtree(self.temp, ignore_errors=True)


def run_case(case, folder):
    """Runs a case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        async def limited():
            # Ended from outside, the case ends its processes as it does at its end.
            running = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, running.cancel)
            return await asyncio.wait_for(case(folder, trouble), 115)
        broken = asyncio.run(limited())
    except CannotRun as problem:
        print(f"could not run: {problem}")
        return 2
    except (Exception, asyncio.CancelledError) as problem:  # a fault of the stand-ins says nothing about the rule
        print(f"could not run: {type(problem).__name__}: {problem}")
        return 2
    if broken:
        for line in broken:
            print(f"rule broken: {line}")
        return 1
    print("the rule held")
    return 0
