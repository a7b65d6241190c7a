"""Stand-ins of the platform for the cases 6 to 10: owners, hosts and the journal service.

One process plays the platform; the controller is the project's own program, started with the `run` command of the
deploy file. All sockets are on 127.0.0.1 and all times are real. Only Python's standard library is used, so there is
nothing to build.

The stand-ins follow the users' pages:
- A host starts a task, answers with a description, and releases it with cause 16 when it ends. A release goes over the
  connection of the set-up, otherwise over any open one, and again over the next one that is opened. A release from the
  controller ends the task. Set-ups that are open on a connection are given up when it closes. Tests pass at once.
- The journal service answers `tail N` with the events after N, and sends the last number every second.
- An owner sends set-ups and reads the answers. All its tasks share one connection.
"""

import asyncio
import itertools
import json
import os
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
KIND_NAMES = {
    SET_UP: "set-up", PROGRESS: "progress", ANSWER: "answer", RELEASE: "release", HEARD: "heard", NOTE: "note",
    MOVE: "move", TEST: "test", TESTED: "tested",
}
CLASS, WAIT, RETRY, TASK, FIGURES, REASON, REPORT, FIGURE, KEY, CAUSE, DESCRIPTION = (
    3, 4, 6, 7, 8, 10, 12, 15, 16, 17, 18)

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The settings of the example in the simulator's page, for one controller.
SETTINGS = {
    "areas": ["kigali-room"],
    "caps": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 850671, "dial-timeout": 250000, "keepalive": 30000000,
             "max-attempts": 4, "max-retry-after": 3000000, "may-cancel": True, "may-duplicate": False,
             "most-held": 1701343, "multiplex": 1048576, "peer-messages": False, "probes": False,
             "retry-after": False},
    "classes": [
        {"deadline": 8000000, "group": "all", "lasting": True, "late-worth": 0.2, "name": "web-fill",
         "objective": 800000, "repeat": "idempotent", "window": 5000000, "worth": 1.0},
        {"deadline": 5000000, "group": "cell", "lasting": True, "late-worth": 0.2, "name": "doc-render",
         "objective": 600000, "repeat": "deduplicated", "window": 5000000, "worth": 2.0},
        {"deadline": 9500000, "group": "all", "lasting": True, "late-worth": 0.2, "name": "clause-update",
         "objective": 5500000, "repeat": "at_most_once", "window": 5000000, "worth": 5.0}],
    "clients": {"marks-retry": True},
    "deductions": {"connection": 0.0, "cross-zone": 0.0, "fleet": 0.15, "handshake": 0.0, "late-fail": 0.0,
                   "moves": 0.05, "origin": 0.0, "peer": 0.0, "probe": 0.0, "registry-mode": 0.004, "waste": 0.03},
    "family": "place", "flavors": ["node-small", "node-large"], "fleet-size": 1,
    "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
    "guarantees": {"answer-slack": 8000, "ask-every": 10000000, "cold-from": 0.16, "fall-multiple": 2.5,
                   "stop-sending-within": 250000, "tip-after": 2000000, "warm-within": 18000000},
    "layers": ["template-fleet"], "my-zone": 0, "over-share-worth": 0.1, "registry-mode": "on_request",
    "report": {"fields": ["x0", "x1", "cpu", "waiting"], "how": "inline"}, "self-index": 0,
    "specifics": {"accepts-memory": 1.5, "admit-cores": 2.0, "apart-by": ["off", "cell", "off"], "by-service": False,
                  "class-calm": [1.0, 0.8, 0.8], "class-fade": [1.0, 0.2, 0.15], "class-kind": [-1, -1, -1],
                  "class-most": [2, 2, 2], "cold-bears": 28.0, "confirms": "running", "evict-weight": 2.0,
                  "make-sure": 3000000, "makes-room": False, "mean-memory": 2.57, "memory-by-kind": [67.0, 114.0],
                  "priority-by-class": [0, 1, 1], "report-counts": "asked", "report-x0": "", "report-x1": "",
                  "says-pressure": False, "size-cores": [25, 51], "start-seconds": [12.0, 10.0, 10.0],
                  "tells-use": False, "tenant-quota-cores": [], "turned-down-price": 0.03, "usual-cores": 1.27,
                  "view": True},
    "stage": 0, "tenants": [], "tick": 2000, "value-by": "work", "weight-source": "off",
}


def settings_copy():
    return json.loads(json.dumps(SETTINGS))


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        self.line(text)
        self.file.flush()
        print(text, flush=True)


def encode(kind, ident, *parameters):
    body = bytes([kind]) + ident.to_bytes(8, "big")
    for code, value in parameters:
        value = value.encode() if isinstance(value, str) else value
        body += bytes([code]) + len(value).to_bytes(2, "big") + value
    return len(body).to_bytes(2, "big") + body


def release(ident, cause, *parameters):
    return encode(RELEASE, ident, (CAUSE, bytes([cause])), *parameters)


class Message:
    def __init__(self, body):
        self.kind, self.ident, self.parameters = body[0], int.from_bytes(body[1:9], "big"), {}
        rest = body[9:]
        while rest:
            length = int.from_bytes(rest[1:3], "big")
            self.parameters.setdefault(rest[0], rest[3:3 + length])
            rest = rest[3 + length:]

    def text(self, code):
        return self.parameters.get(code, b"").decode("utf-8", "replace")

    @property
    def cause(self):
        return (self.parameters.get(CAUSE) or b"\0")[0]

    def __str__(self):
        name = KIND_NAMES.get(self.kind, str(self.kind))
        cause = f" cause {self.cause}" if self.kind == RELEASE else ""
        return f"{name}{cause} {self.ident:016x}"


async def read_message(reader):
    length = int.from_bytes(await reader.readexactly(2), "big")
    return Message(await reader.readexactly(length))


class Connection:
    numbers = itertools.count(1)

    def __init__(self, reader, writer):
        self.reader, self.writer, self.number, self.is_open = reader, writer, next(Connection.numbers), True

    def send(self, data):
        if self.is_open:
            self.writer.write(data)

    def close(self):
        self.is_open = False
        self.writer.close()

    def reset(self):
        if not self.is_open:
            return
        self.is_open = False
        # Without a time to linger, closing the socket resets the connection.
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Task:
    """A copy of a task at a host."""

    def __init__(self, ident, name, klass, key, connection):
        self.ident, self.name, self.klass, self.key, self.connection = ident, name, klass, key, connection
        self.state = "starting"
        self.end_timer = None


class Host:
    """A host. Behaviour that a case changes is in the hooks `start_time`, `run_time` and `on_set_up`."""

    def __init__(self, name, record, cell=1, kind="node-small"):
        self.name, self.record, self.cell, self.kind = name, record, cell, kind
        self.tasks, self.connections, self.repeats = [], [], []
        self.server, self.port = None, None
        self.start_time = lambda message: 0.02
        self.run_time = lambda message: None
        self.on_set_up = self.start_task
        self.on_connected = lambda connection: None

    async def listen(self, backlog=100):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, backlog=backlog)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self, state="active", started_ms=0):
        return {"id": self.name, "addr": self.address, "zone": "kigali-room", "kind": self.kind, "cell": self.cell,
                "state": state, "weight": 1, "started_ms": started_ms, "room": [20, 60]}

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.append(connection)
        self.record.line(f"{self.name} connection {connection.number} opened")
        for frame in self.repeats:
            connection.send(frame)
            self.record.line(f"{self.name} repeats {Message(frame[2:])} over connection {connection.number}")
        self.repeats = []
        self.on_connected(connection)
        try:
            while True:
                message = await read_message(reader)
                if message.kind == TEST:
                    connection.send(encode(TESTED, message.ident, (CAUSE, b"\1")))
                    continue
                self.record.line(f"{self.name} receives {message} over connection {connection.number}")
                if message.kind == SET_UP:
                    self.on_set_up(message, connection)
                elif message.kind == RELEASE:
                    self.cut(message.ident, connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            connection.close()
            if connection in self.connections:
                self.connections.remove(connection)
            self.tasks = [t for t in self.tasks if t.connection is not connection or t.state != "starting"]
            self.record.line(f"{self.name} connection {connection.number} closed")

    def start_task(self, message, connection):
        task = Task(message.ident, message.text(TASK), message.text(CLASS), message.parameters.get(KEY), connection)
        self.tasks.append(task)
        later(self.start_time(message), lambda: self.answer(task, message))

    def answer(self, task, message):
        if task.state != "starting" or task not in self.tasks:
            return
        task.state = "running"
        self.record.line(f"{self.name} runs task {task.name} of {task.ident:016x}")
        self.send_answer(task)
        run_time = self.run_time(message)
        if run_time is not None:
            later(run_time, lambda: self.end(task))

    def send_answer(self, task):
        description = f"{self.name}/{task.name}/{task.connection.number}"
        task.connection.send(encode(ANSWER, task.ident, (DESCRIPTION, description), (REPORT, "x0:20;x1:60;queue:0")))

    def end(self, task, cause=16):
        """The task comes to its end."""
        if task.state != "running":
            return
        task.state = "ended"
        self.tasks.remove(task)
        frame = release(task.ident, cause)
        over = task.connection if task.connection in self.connections else None
        over = over or (self.connections[0] if self.connections else None)
        self.repeats.append(frame)
        if over:
            over.send(frame)
        where = f"over connection {over.number}" if over else "later: no connection is open"
        self.record.line(f"{self.name} task {task.name} ended, sends {Message(frame[2:])} {where}")

    def cut(self, ident, connection):
        for task in list(self.tasks):
            is_open_here = task.state == "starting" and task.connection is connection
            if task.ident == ident and (task.state == "running" or is_open_here):
                self.tasks.remove(task)
                self.record.line(f"{self.name} task {task.name} of {ident:016x} is cut by the controller")
                task.state = "cut"

    def adopt(self, ident, name, klass):
        """A task that this host has held since before the controller started."""
        task = Task(ident, name, klass, None, None)
        task.state = "running"
        self.tasks.append(task)
        return task

    def running(self, name):
        return [task for task in self.tasks if task.name == name and task.state == "running"]


class Journal:
    """The journal service."""

    def __init__(self, record, first_servers):
        self.record, self.events, self.writers = record, [], []
        self.add(first_servers, full=True)
        self.server, self.port, self.is_down = None, None, False

    def add(self, servers, full=False):
        pos = len(self.events) + 1
        event = {"pos": pos, "hosts": {"version": pos, "full": full, "servers": servers}}
        self.events.append(event)
        for writer in getattr(self, "writers", []):
            writer.write(self.line_of(event))

    @staticmethod
    def line_of(event):
        return json.dumps(event).encode() + b"\n"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Out of reach: accepts nothing and closes what is open."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode().split()
            if len(line) != 2 or line[0] != "tail":
                return
            self.record.line(f"journal is asked: {' '.join(line)}")
            for event in self.events[int(line[1]):]:
                writer.write(self.line_of(event))
            writer.write(f"{len(self.events)}\n".encode())
            self.writers.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(1)
                if writer in self.writers:
                    writer.write(f"{len(self.events)}\n".encode())
        except (ConnectionError, ValueError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()


class Owner:
    """An owner of tasks, with one connection at a time."""

    idents = itertools.count(0x5c00_0000_0000_0001)

    def __init__(self, record, name="owner"):
        self.record, self.name, self.connection = record, name, None
        self.received, self.waiters, self.test = [], {}, None

    async def connect(self, controller):
        reader, writer = await asyncio.open_connection("127.0.0.1", controller.port)
        self.connection = Connection(reader, writer)
        self.reading = asyncio.ensure_future(self.read(self.connection))
        keep(self.reading)

    async def read(self, connection):
        try:
            while True:
                message = await read_message(connection.reader)
                if message.kind == TESTED:
                    if self.test and not self.test.done():
                        self.test.set_result(True)
                    continue
                at = time.monotonic()
                self.record.line(f"{self.name} receives {message} {message.text(DESCRIPTION)}")
                self.received.append((at, message))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            connection.is_open = False
            self.record.line(f"{self.name} connection closed")

    async def pass_test(self):
        self.test = asyncio.get_running_loop().create_future()
        self.connection.send(encode(TEST, 1, (CAUSE, b"\0")))
        await asyncio.wait_for(self.test, 10)

    def set_up(self, klass, name, wait_ms, service="00000000b4d65521", cores=0.5, memory=1, at=None, key=None,
               is_retry=False, ident=None):
        ident = ident or next(Owner.idents)
        figures = f"cores:{cores};memory:{memory};service:{service}" + (f";at:{at}" if at else "")
        parameters = [(CLASS, klass), (WAIT, str(wait_ms))]
        if is_retry:
            parameters.append((RETRY, "1"))
        parameters.append((TASK, name))
        if key:
            parameters.append((KEY, key))
        parameters.append((FIGURES, figures))
        frame = encode(SET_UP, ident, *parameters)
        where = f" at {at}" if at else ""
        self.record.line(f"{self.name} sends set-up {ident:016x} {klass} task {name} wait {wait_ms}{where}")
        return ident, frame

    def request(self, *arguments, **named):
        ident, frame = self.set_up(*arguments, **named)
        self.connection.send(frame)
        return ident

    def of(self, ident):
        return [(at, message) for at, message in self.received if message.ident == ident]

    async def answer_to(self, ident, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for _, message in self.of(ident):
                if message.kind in (ANSWER, RELEASE):
                    return message
            await asyncio.sleep(0.002)
        return None

    async def released(self, ident, timeout):
        """Waits for the release of a task that stands."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for at, message in self.of(ident):
                if message.kind == RELEASE:
                    return at, message
            await asyncio.sleep(0.002)
        return None


class Controller:
    """The project's program, started as the deploy file says."""

    def __init__(self, record, journal, settings=None, memory_mb=192, sockets=1024):
        self.record, self.journal, self.settings = record, journal, settings or SETTINGS
        self.memory_mb, self.sockets, self.process, self.starts = memory_mb, sockets, None, 0
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="peppercove-review-")
        self.config = os.path.join(self.folder, "config.json")
        self.log = open(os.path.join(self.folder, "log"), "wb")
        controllers.append(self)

    def write_config(self, journal_port=None):
        events = self.journal.events
        text = json.dumps({
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": f"{0x8c1f30d27a5be964 + self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "journal": f"127.0.0.1:{journal_port or self.journal.port}",
            "known": {"pos": len(events), "entries": events}, "settings": self.settings})
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.config + ".new", self.config)

    def start(self):
        self.starts += 1
        self.write_config()
        scratch = tempfile.mkdtemp(dir=self.folder)
        environment = dict(os.environ, LB_NAME="n1", LB_LISTEN=f"127.0.0.1:{self.port}", LB_CONFIG=self.config,
                           TMPDIR=scratch)
        limit = self.sockets
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
        self.record.line(f"controller started, process {self.process.pid}")

    async def ready(self, owner, timeout=20):
        """Connects the owner and waits until the controller has passed a test."""
        end = time.monotonic() + timeout
        while True:
            if self.process.poll() is not None:
                raise NotRun(f"the controller ended with {self.process.returncode} at its start")
            try:
                await owner.connect(self)
                await owner.pass_test()
                return
            except (ConnectionError, asyncio.TimeoutError):
                if time.monotonic() > end:
                    raise NotRun("the controller did not get ready")
                await asyncio.sleep(0.02)

    def is_alive(self):
        return self.process.poll() is None

    def signal(self, number):
        self.record.line(f"controller is sent signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.record.line("controller killed")

    def remove(self):
        self.kill()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    return found.group(1)


futures = set()
controllers = []


def end_early(number, _frame):
    """Ends the controller when the script is ended from outside."""
    for controller in controllers:
        controller.remove()
    os._exit(NOT_RUN)


def keep(future):
    futures.add(future)
    future.add_done_callback(futures.discard)


def later(seconds, act):
    asyncio.get_running_loop().call_later(seconds, act)


def main(case, folder, time_limit=110):
    """Runs `case(record, trouble)`, which returns whether the rule held, and ends the process."""
    record = Record(os.path.join(os.environ.get("RECORD_DIR", folder), "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'yes' if trouble else 'no'}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_early)

    async def run():
        return await asyncio.wait_for(case(record, trouble), time_limit)

    try:
        held = asyncio.run(run())
        code = HELD if held else BROKEN
    except Exception as error:  # A fault of the script itself says nothing about the rule.
        record.say(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.say({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    record.file.close()
    sys.stdout.flush()
    os._exit(code)
