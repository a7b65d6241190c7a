#!/usr/bin/env python3
"""Plays a small fleet against an adapter and writes all frames: make.py PEPPERCOVE_ADAPTER > session.tap

The form is that of the bench's recordings. Machines, tasks and faults are drawn by a seed; the frames answer what the
adapter decided, so that a recording holds for the decisions of the build that it was made with. README.md tells which.
"""
import heapq, json, random, struct, subprocess, sys

adapter = subprocess.Popen([sys.argv[1]], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
rng = random.Random(46)
DONE, ERROR, REFUSED, TIMED_OUT, UNREACHABLE, LOST, WITHDRAWN, NOT_SENT = 200, 502, 429, 408, 521, 520, 444, 409

SETTINGS = {
    "areas": ["east", "west"], "flavors": ["thin", "wide"],
    "caps": {"dial-timeout": 300000, "max-attempts": 4, "may-cancel": True, "may-duplicate": False,
             "peer-messages": True, "probes": True},
    "classes": [
        {"name": "paint", "deadline": 4000000, "group": "cell", "late-worth": 0.2, "objective": 800000,
         "repeat": "deduplicated", "window": 3000000, "worth": 2.0},
        {"name": "sift", "deadline": 5000000, "group": "all", "late-worth": 0.4, "objective": 900000,
         "repeat": "idempotent", "worth": 1.0},
        {"name": "store", "deadline": 6000000, "group": "zone", "late-worth": 0.1, "objective": 1500000,
         "repeat": "at_most_once", "worth": 5.0}],
    "deductions": {"fleet": 0.05, "moves": 0.02, "probe": 0.001},
    "fleet-size": 2, "self-index": 0, "my-zone": 1, "over-share-worth": 0.25, "registry-mode": "on_request", "tick": 2000,
    "guarantees": {"answer-slack": 8000, "ask-every": 2000000, "cold-from": 0.16, "fall-multiple": 2.5,
                   "stop-sending-within": 250000, "tip-after": 2000000, "warm-within": 9000000},
    "report": {"fields": ["waiting", "x0", "novel", "cpu", "x1"], "how": "inline"},
    "specifics": {"accepts-memory": 1.25, "admit-cores": 1.5, "apart-by": ["machine", "off", "cell"],
                  "class-calm": [0.8, 1.0, 0.7], "class-fade": [0.2, 1.0, 0.3], "class-kind": [-1, -1, 1],
                  "class-most": [3, 2, 4], "cold-bears": 12.0, "confirms": "running", "makes-room": True,
                  "make-sure": 1000000, "mean-memory": 2.5, "memory-by-kind": [16.0, 40.0],
                  "priority-by-class": [1, 0, 2], "report-counts": "asked", "size-cores": [8, 16],
                  "start-seconds": [10.0, 6.0, 9.0], "tenant-quota-cores": [6.0, 4.0], "turned-down-price": 0.03,
                  "usual-cores": 1.5, "view": True},
    "tenants": [{}, {}],
}


def f32(x):
    return struct.pack("<f", x)


def host(i):
    return bytes([10, 0, 0, i, 0x84, 0x1B])


class Instance:
    def __init__(self, number):
        self.number, self.tries, self.asks, self.watching = number, {}, {}, False


instances = {0: Instance(0), 1: Instance(1)}
states = {i: (1, 0) for i in range(1, 8)}
used = {i: [0.0, 0.0] for i in range(1, 8)}
version, clock, order = 1, 1_000_000, 0
queue = []


def at(when, instance, record):
    """Schedules what `record()` gives for an instance."""
    global order
    order += 1
    heapq.heappush(queue, (int(when), order, instance, record))


def report(i):
    """Waiting, free cores, something unknown, busy, free memory."""
    size = (16, 40) if i % 2 else (8, 16)
    cores, memory = used[i]
    values = [float(rng.randrange(3)), size[0] - cores, float("nan"), min(1.0, cores / size[0]), size[1] - memory]
    return bytes([5]) + b"".join(map(f32, values))


def line(i):
    size = (16.0, 40.0) if i % 2 else (8.0, 16.0)
    state, since = states[i]
    return (f32(size[0] - used[i][0]) + host(i) + f32(1.0) + struct.pack("<HBQBB", i // 2, i % 2, since, state, i % 2)
            + f32(size[1] - used[i][1]))


def listed(hosts, scope):
    return [b"\x0d\x00" + struct.pack("<I", len(hosts)) + b"".join(line(i) for i in hosts),
            lambda: b"\x02\x00" + struct.pack("<QB", version, scope)]


def ended(request, attempt, machine, code, over, why, load):
    return (b"\x05" + struct.pack("<QH", request, attempt) + machine + struct.pack("<HIBB", code, 700, over, why)
            + (report(machine[3]) if load else b"\x00"))


def place(request, task, again=False):
    kind = rng.randrange(3)
    cores, memory = [(1.0, 2.0), (0.5, 1.0), (2.0, 3.5)][kind]
    wait = [4_000_000, 5_000_000, 6_000_000][kind]
    life = rng.randrange(200_000, 1_500_000)
    flags = rng.randrange(2) | (2 if again else 0)
    record = (b"\x03" + struct.pack("<QHIQIIQ", request, kind, rng.randrange(2), task, wait, life,
                                    100 + kind * 10 + rng.randrange(2))
              + f32(cores) + f32(memory) + bytes([flags]))
    return record, (kind, cores, memory, life)


def bind(instance, request, timeout, machine):
    """What becomes of an attempt."""
    attempt = instance.tries.get(request, 0)
    instance.tries[request] = attempt + 1
    i = machine[3]
    kind, cores, memory, life = instance.asks.get(request, (0, 1.0, 1.0, 500_000))
    size = (16, 40) if i % 2 else (8, 16)
    draw = rng.random()
    now = clock
    number = instance.number
    if states[i][0] == 3 or draw < 0.04:
        at(now + 3_000, number, lambda: [ended(request, attempt, machine, UNREACHABLE, 0, 0, False)])
    elif used[i][0] + cores > size[0] or draw < 0.12:
        why = rng.choice([1, 2, 3, 4])
        at(now + 9_000, number, lambda: [ended(request, attempt, machine, REFUSED, 0, why, True)])
    elif draw < 0.18:
        at(now + (timeout or 400_000), number, lambda: [ended(request, attempt, machine, TIMED_OUT, 0, 0, False)])
    elif draw < 0.22:
        at(now + 50_000, number, lambda: [ended(request, attempt, machine, ERROR, 0, 0, rng.random() < 0.5)])
    elif draw < 0.24:
        at(now + 100, number, lambda: [ended(request, attempt, machine, NOT_SENT, 0, 0, False)])
    else:
        used[i][0] += cores
        used[i][1] += memory

        def release(code, why):
            used[i][0] -= cores
            used[i][1] -= memory
            return [ended(request, attempt, machine, code, 1, why, rng.random() < 0.6)]

        start = now + rng.randrange(15_000, 90_000)
        at(start, number, lambda: [b"\x04" + struct.pack("<QH", request, attempt) + machine + struct.pack("<I", 900)])
        note = rng.randrange(1, 7)
        at(start + life // 2, number, lambda: [b"\x0c" + struct.pack("<QfB", request, 0.25 * note, note) + machine
                                               + struct.pack("<H", attempt)])
        code, why = rng.choice([(DONE, 0)] * 6 + [(LOST, 5), (LOST, 6), (LOST, 7), (WITHDRAWN, 0)])
        at(start + life, number, lambda: release(code, why))


def act(reply):
    """Carries out the actions of a reply."""
    number, p = None, 4
    while p < len(reply):
        code = reply[p]
        p += 1
        take = lambda form: struct.unpack_from("<" + form, reply, p)
        if code == 3:
            number = take("H")[0]
            p += 2
            continue
        instance = instances[number]
        if code == 1:
            p += 1
            at(clock + 30_000, number, lambda: listed(sorted(states), 1))
        elif code == 2:
            machine = reply[p:p + 6]
            p += 6
            code = 200 if rng.random() < 0.8 else 408
            at(clock + 10_000, number, lambda m=machine, c=code: [
                b"\x08" + struct.pack("<HI", c, 500) + m + (report(m[3]) if c == 200 else b"\x00")])
        elif code == 11:
            request, timeout = take("QI")
            machine = reply[p + 12:p + 18]
            p += 18
            bind(instance, request, timeout, machine)
        elif code == 6:
            request, attempt = take("QH")
            p += 10
            at(clock + 5_000, number, lambda r=request, a=attempt: [ended(r, a, host(1), WITHDRAWN, 0, 0, False)])
        elif code == 14:
            p += 12
        elif code in (5, 8):
            p += 8
        elif code == 10:
            label, when = take("QQ")
            p += 16
            at(max(when, clock), number, lambda l=label: [b"\x07" + struct.pack("<Q", l)])
        elif code == 7:
            p += 6 + take("IH")[1]
        elif code == 9:
            p += 2 + take("H")[0]
        else:
            raise SystemExit(f"action {code}")


def frame(when, records, count):
    body = b"".join(records)
    bytes_ = struct.pack("<IIQ", len(body), count, when) + body
    adapter.stdin.write(bytes_)
    adapter.stdin.flush()
    head = adapter.stdout.read(4)
    reply = head + adapter.stdout.read(struct.unpack("<I", head)[0])
    print(f">> process 0, {len(bytes_)} bytes\n{bytes_.hex()}\n<< process 0, {len(reply)} bytes\n{reply.hex()}")
    act(reply)


def change(host_number, state, since):
    def told():
        global version
        version += 1
        states[host_number] = (state, since)
        return listed([host_number], 0)
    return told


def start(number, seed):
    text = json.dumps({**SETTINGS, "self-index": number}, separators=(",", ":")).encode()
    return lambda: [b"\x01" + struct.pack("<QI", seed, len(text)) + text] + listed(sorted(states), 2)


def asked(number, request, task, again):
    def record():
        bytes_, facts = place(request, task, again)
        instances[number].asks[request] = facts
        return [bytes_]
    return record


def plan():
    at(1_000_000, 0, start(0, 9))
    at(1_000_000, 1, start(1, 10))
    for n in range(90):
        number = n % 2
        at(1_100_000 + n * 30_000 + rng.randrange(20_000), number, asked(number, 1000 + n, 5000 + n % 70, n >= 70))
    standing = (b"\x0b" + struct.pack("<Q", 1) + f32(2.0) + struct.pack("<II", 900_000, 0) + f32(1.5)
                + struct.pack("<IB", 4_000_000, 1) + struct.pack("<QQ", 120, 4999) + host(3) + struct.pack("<H", 1))
    at(1_090_000, 0, lambda: [standing])
    at(1_900_000, 0, change(2, 2, 0))
    at(1_900_000, 1, change(2, 2, 0))
    at(2_300_000, 0, change(4, 3, 0))
    at(2_600_000, 1, lambda: [lambda: b"\x02\x00" + struct.pack("<QB", 0, 3)])
    at(2_900_000, 0, change(4, 1, 2_850_000))
    at(2_900_000, 1, change(4, 1, 2_850_000))
    for n in (1020, 1033):
        at(2_000_000, n % 2, lambda n=n: [b"\x06" + struct.pack("<Q", n)])
    at(2_500_000, 0, lambda: [b"\x09" + struct.pack("<IH", 1, 3) + b"abc"])
    at(3_200_000, 1, lambda: [b"\x0a"])
    at(3_400_000, 1, start(1, 11))


plan()
while queue and queue[0][0] < 6_000_000:
    clock = max(clock, queue[0][0])
    records, count, last = [], 0, None
    # Nothing is told before the first frame of an instance; all that is due comes in one batch.
    while queue and queue[0][0] <= clock:
        _, _, number, record = heapq.heappop(queue)
        if number != last:
            records.append(b"\x0e" + struct.pack("<H", number))
            count, last = count + 1, number
        for part in record():
            records.append(part() if callable(part) else part)
            count += 1
    frame(clock, records, count)
adapter.stdin.close()
adapter.wait()
