"""Stand-ins for the users' platform, by PROTOCOL.md: store, workers, operator and clients.

One process and one event loop hold the store and the workers; the instances of godwitfall are
separate processes, started with the command of deploy/system.toml. All addresses are loopback.
"""
import asyncio
import base64
import json
import os
import random
import resource
import signal
import struct
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_FDS = 4100
JSON = {"Content-Type": "application/json"}


def now():
    return time.monotonic()


def unix_ms():
    return int(time.time() * 1000)


# HTTP/1.1 over asyncio, as small as the platform's pages need it.

NO_ANSWER = object()  # A handler returns it for a call that is never answered.
RESET = object()      # The same, and the connection is reset.


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", 0)) > 0:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class Server:
    """Serves handler(method, target, headers, body) -> (status, body bytes) on one address."""

    def __init__(self, address, handler):
        self.host, port = address.split(":")
        self.port = int(port)
        self.handler = handler
        self.writers = set()
        self.silent = set()        # Connections on which nothing arrives any more.
        self.server = None

    def silence(self):
        """Open connections go silent for good, without a reset; new ones work."""
        self.silent |= self.writers
        return len(self.writers)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                if writer in self.silent:
                    continue
                answer = await self.handler(method, target, message[1], message[2])
                if writer in self.silent:
                    continue
                if answer is NO_ANSWER:
                    await asyncio.sleep(30)
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, body = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def stop(self):
        """Closes the listener and resets every connection, as when the process dies."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=None, body=b"", timeout=3.0):
    """Returns (status, body), or None if there was no complete answer in time."""
    host, port = address.split(":")

    async def perform():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}",
                     "Connection: close"]
            given = {"Host": address, **JSON, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(perform(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


def as_json(value):
    return json.dumps(value, separators=(",", ":")).encode()


# The platform's store


class Topic:
    def __init__(self):
        self.records = []      # (key, value) by offset
        self.newest = {}       # key -> (value, offset)
        self.producers = {}    # producer -> [epoch, last number, answers of the last five]
        self.first = 0
        self.grown = asyncio.Event()


class Store:
    """The platform's store: keyed topics of one partition."""

    RECORD_BYTES = 262144
    CALL_BYTES = 2097152

    def __init__(self, world, address):
        self.world = world
        self.topics = {}
        self.server = Server(address, self.handle)
        self.doors = []            # Further addresses, see Door.
        self.mood = "well"         # well, busy, silent, reset
        self.answers_lost = 0.0    # Share of the appends that are done and not answered.
        self.appends_late = 0.0    # Share that is done 1 to 6 s later, and not answered.
        self.random = random.Random(1)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker; an empty value drops the key."""
        self.add(self.topic(topic), key.encode(), value)

    @staticmethod
    def add(topic, key, value):
        topic.records.append((key, value))
        if value:
            topic.newest[key] = (value, len(topic.records) - 1)
        else:
            topic.newest.pop(key, None)
        topic.grown.set()
        topic.grown = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if self.mood == "busy":
            return 503, b"{}"
        if self.mood == "silent":
            return NO_ANSWER
        if self.mood == "reset":
            return RESET
        await asyncio.sleep(0.002)
        if path == "/godwitfall/log-append":
            return await self.append(query, body)
        if path == "/godwitfall/log-read":
            return await self.read(query)
        if path == "/godwitfall/log-newest":
            return self.page(query)
        return 404, b"{}"

    async def append(self, query, body):
        if self.random.random() < self.appends_late:
            asyncio.get_running_loop().call_later(
                self.random.uniform(1, 6), lambda: self.execute(query, body))
            return NO_ANSWER
        answer = self.execute(query, body)
        return NO_ANSWER if self.random.random() < self.answers_lost else answer

    def execute(self, query, body):
        topic = self.topic(query["topic"])
        records = []
        at = 0
        total = 0
        while at + 4 <= len(body):
            length = struct.unpack(">I", body[at:at + 4])[0]
            record = body[at + 4:at + 4 + length]
            at += 4 + length
            total += length
            if length > self.RECORD_BYTES:
                self.world.note("store", refused="record", bytes=length, topic=query["topic"])
                return 400, as_json({"reason": "record_bytes"})
            records.append((record[1:1 + record[0]], record[1 + record[0]:]))
        if total > self.CALL_BYTES:
            self.world.note("store", refused="call", bytes=total, topic=query["topic"])
            return 400, as_json({"reason": "call_bytes"})
        producer = query.get("producer")
        epoch = int(query.get("epoch", 0))
        number = int(query.get("seq_no", 0))
        known = topic.producers.get(producer)
        if producer is not None and known:
            if epoch < known[0]:
                return 409, as_json({"reason": "fenced"})
            if epoch == known[0]:
                for past, answer in known[2]:
                    if past == number:
                        return answer
                if number != known[1] + 1:
                    return 409, as_json({"reason": "seq", "seq_no": known[1] + 1})
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, as_json({"end": len(topic.records)})
        offset = len(topic.records)
        for key, value in records:
            self.add(topic, key, value)
        answer = 200, as_json({"offset": offset, "end": len(topic.records)})
        if producer is not None:
            past = known[2] if known and known[0] == epoch else []
            topic.producers[producer] = [epoch, number, (past + [(number, answer)])[-5:]]
        return answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        if start >= len(topic.records) and int(query.get("wait_ms", 0)) > 0:
            grown = topic.grown
            try:
                await asyncio.wait_for(grown.wait(), int(query["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if start < topic.first:
            return 410, as_json({"first": topic.first})
        out = [struct.pack(">QQ", len(topic.records), topic.first)]
        size = 0
        for key, value in topic.records[start:]:
            record = bytes([len(key)]) + key + value
            if size + len(record) > int(query.get("max_kb", 1024)) * 1024 and size:
                break
            size += len(record)
            out.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(out)

    def page(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        size = 0
        for key in keys:
            value, offset = topic.newest[key]
            if len(items) == 500 or size + len(value) > 1 << 20:
                break
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, as_json({"items": items, "has_more": len(items) < len(keys),
                             "end": len(topic.records)})

    def owner(self):
        """Returns the name of the instance that the newest owner record holds, by its bytes."""
        value = self.topic("keyed.jobs").newest.get(b"owner", (b"", 0))[0]
        for instance in self.world.instances.values():
            if instance.name.encode() in value:
                return instance
        return None


class Door:
    """An address of the store of its own, for one instance: what is cut there is cut for it alone."""

    def __init__(self, store, address):
        self.store = store
        self.address = address
        self.mood = "well"         # well, busy, silent, reset, mute (done, but not answered)
        self.server = Server(address, self.handle)
        store.doors.append(self)

    async def handle(self, method, target, headers, body):
        if self.mood == "busy":
            return 503, b"{}"
        if self.mood == "silent":
            return NO_ANSWER
        if self.mood == "reset":
            return RESET
        answer = await self.store.handle(method, target, headers, body)
        return NO_ANSWER if self.mood in ("mute", "silent") else answer


# Workers


class Run:
    def __init__(self, task, number, job, step, saved):
        self.task = task
        self.number = number
        self.job = job            # Job of the world, as its client sent it; None: unknown.
        self.step = step          # Its step.
        self.saved = saved
        self.worked = 0.0         # ms of work in this run
        self.restored_at = 0.0
        self.stopping_at = None
        self.began = now()
        self.pace = 100


class Worker:
    """A worker by PROTOCOL.md, "Running tasks" (orders by invocation)."""

    HOLD_MAX = 6000
    STOP_MS = 200
    GANG_MS = 3000
    BEAT = 1.5

    def __init__(self, world, name, address, zone, service, cpu=64000, mem=256000, kind="a",
                 rack="r1", slow=0.0, enforces=True):
        self.world = world
        self.name = name
        self.address = address
        self.zone = zone
        self.service = service
        self.capacity = {"cpu": cpu, "mem_mb": mem, "gpu": 0}
        self.labels = [kind, rack]
        self.slow = slow
        self.enforces = enforces
        self.server = None
        self.up = False
        self.state = "ready"
        self.sequence = 0
        self.starts_unanswered = 0.0   # Share of the starts and stops done late, 2 to 12 s.
        self.unhealthy = False         # Answers starts with 503.
        self.fails_all = False         # Whatever it runs ends as failed.
        self.left = False
        self.first_beat_s = 0          # From a restart until it first writes to the store.
        self.cut = ""                  # all: no call arrives; answers: no answer gets back.
        self.lapsed_at = -1.0
        self.born = 0
        self.life = 0

    # Life

    async def start(self):
        self.life += 1
        self.born = unix_ms()
        self.began = now()
        self.running = {}              # task -> Run
        self.ended = []                # [number, task, run, how, saved, lapsed since]
        self.next_end = 1
        self.barred = {}               # task -> highest run that was stopped or has ended
        self.token = 0
        self.lease = 0
        self.more = asyncio.Event()
        self.up = True
        self.server = Server(self.address, self.handle)
        await self.server.start()
        if self.life == 1 or self.first_beat_s == 0:
            self.register()
        else:
            life = self.life
            asyncio.get_running_loop().call_later(
                self.first_beat_s, lambda: self.up and self.life == life and self.register())

    async def leave(self, drain_s):
        """Reports draining, goes on serving for a while, and is gone."""
        self.state = "draining"
        self.drained_at = now() + drain_s
        self.register()
        await asyncio.sleep(drain_s + 0.5)
        for run in list(self.running.values()):
            self.world.judge.gone(self, run, "left")
        self.running = {}
        self.up = False
        self.left = True
        await self.server.stop()
        self.world.store.put("keyed.servers", self.name, b"")

    async def crash(self):
        """Everything that it ran and knew is gone; its connections are reset."""
        self.up = False
        self.world.note("worker", name=self.name, life=self.life, event="crash",
                        running=[[run.task, run.number] for run in self.running.values()])
        for run in list(self.running.values()):
            self.world.judge.gone(self, run, "crash")
        self.running = {}
        await self.server.stop()

    def lease_lapsed_since(self, at):
        return self.lapsed_at >= at

    def clock(self):
        return int((now() - self.began) * 1000 * (1 - self.slow)) + 1000

    def register(self):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.name, as_json({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock(), "born": self.born,
            **({"remaining_ms": max(0, int(1000 * (self.drained_at - now())))}
               if self.state == "draining" else {}), "seq_no": self.sequence}))

    async def beat(self):
        silent = 0
        while True:
            await asyncio.sleep(self.BEAT)
            if self.left:
                return
            if self.up:
                silent = 0
                self.register()
            else:
                silent += 1
                if silent == 3:
                    self.world.store.put("keyed.servers", self.name, b"")

    # Work

    def tick(self, passed):
        if not self.up:
            return
        if self.clock() >= self.lease:
            self.lapsed_at = now()
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if run.task not in self.running or self.running[run.task] is not run:
                continue
            if run.stopping_at is not None:
                if now() >= run.stopping_at:
                    self.save(run)
                    self.end(run, "stopped")
                continue
            if now() < run.restored_at:
                continue
            if run.step.get("gang"):
                members = self.world.gang(run)
                if len(members) < run.step["count"]:
                    if run.worked > 0:
                        self.end(run, "broken")
                    elif (now() - run.began) * 1000 > self.GANG_MS:
                        self.end(run, "alone")
                    continue
            run.worked += passed * 1000 * run.pace / 100
            length = self.world.length_of(run)
            if self.fails_all or self.world.fails(run):
                self.end(run, "failed")
            elif not run.step.get("long_running") and run.worked >= length:
                if run.step.get("gang"):
                    for worker, member in self.world.gang(run):
                        worker.end(member, "done")
                else:
                    self.end(run, "done")
            elif run.step.get("checkpointing") and int(run.worked / 1000) > int(
                    (run.worked - passed * 1000) / 1000):
                self.save(run)

    def save(self, run):
        if run.step.get("checkpointing"):
            run.saved = f"{run.task}/{run.number}/{int(run.worked)}"
            self.world.judge.saved(run)

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, run.saved])
        self.world.note("run", worker=self.name, life=self.life, task=run.task, run=run.number,
                        event=how, number=self.next_end)
        self.next_end += 1
        self.world.judge.ended(self, run, how, self.ended[-1])
        self.more.set()
        self.more = asyncio.Event()
        if run.step.get("gang") and how != "done":
            for worker, member in self.world.gang(run):
                if member.worked > 0:
                    worker.end(member, "broken")

    # Orders

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, b"{}"
        life = self.life
        if self.cut == "all":
            return NO_ANSWER
        try:
            order = json.loads(body)
        except ValueError:
            return 400, b"{}"
        late = target in ("/godwitfall/run-start", "/godwitfall/run-stop")
        if late and self.world.random.random() < self.starts_unanswered:
            delay = self.world.random.uniform(2, 12)
            self.world.note("order", worker=self.name, late_s=round(delay, 1), path=target,
                            task=order.get("task"), run=order.get("run"))
            asyncio.get_running_loop().call_later(
                delay, lambda: self.up and self.life == life and self.execute(
                    target, headers, order, True))
            return NO_ANSWER
        answer = self.execute(target, headers, order, False)
        if self.cut:
            return NO_ANSWER
        if target == "/godwitfall/hold" and answer[0] == 200:
            wait = min(2000, int(order.get("wait_ms", 0)))
            if wait and not self.ended:
                try:
                    await asyncio.wait_for(self.more.wait(), wait / 1000)
                except asyncio.TimeoutError:
                    pass
                if not self.up or self.life != life:
                    return RESET
            return 200, as_json(self.report())
        return answer

    def report(self):
        rows = []
        for run in self.running.values():
            length = self.world.length_of(run)
            done = 100 if run.step.get("long_running") else min(99, int(100 * run.worked / length))
            if run.step.get("long_running") and run.worked < 300:
                done = int(run.worked / 3)
            rows.append([run.task, run.number, run.saved, done, 0])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows,
                "ended": [end[:5] for end in self.ended[:500]]}

    def answer(self, status, reason=None):
        body = {"clock_ms": self.clock(), "born": self.born}
        if reason:
            body["reason"] = reason
        return status, as_json(body)

    def execute(self, target, headers, order, late):
        if headers.get("x-expected-instance", self.name) != self.name:
            return self.answer(421)
        token = int(order.get("fencing_token", 0))
        if token < self.token:
            return self.answer(409, "fence")
        self.token = token
        if target == "/godwitfall/hold":
            cursor = int(order.get("ack_cursor", 0))
            for end in self.ended:
                if end[0] <= cursor:
                    self.world.judge.noted(self, end)
            self.ended = [end for end in self.ended if end[0] > cursor]
            self.prolong(order.get("deadline_ms", 0))
            return self.answer(200)
        if target == "/godwitfall/run-start":
            answer = self.run_start(order, late)
            self.world.note("start", worker=self.name, life=self.life, task=order["task"],
                            run=order["run"], token=token, late=late, status=answer[0],
                            body=answer[1].decode())
            return answer
        if target == "/godwitfall/run-stop":
            return self.run_stop(order)
        if target == "/godwitfall/pace":
            run = self.running.get(order["task"])
            if run and run.number == order["run"]:
                run.pace = order["percent"]
            return self.answer(200)
        return 404, b"{}"

    def prolong(self, deadline):
        self.lease = max(self.lease, min(int(deadline), self.clock() + self.HOLD_MAX))

    def used(self, name):
        return sum(run.step.get(name, 0) for run in self.running.values()
                   if name != "cpu" or not run.step.get("fills"))

    def run_start(self, order, late):
        if self.unhealthy:
            return self.answer(503)
        task, number = order["task"], int(order["run"])
        present = self.running.get(task)
        if present and present.number == number:
            self.prolong(order["deadline_ms"])
            return self.answer(200)
        if number <= self.barred.get(task, 0) or (present and number < present.number):
            self.prolong(order["deadline_ms"])
            return self.answer(409, "old")
        if int(order["deadline_ms"]) <= self.clock():
            return self.answer(409, "late")
        job, step = self.world.job_of(task)
        run = Run(task, number, job, step or {"count": 1}, order.get("checkpoint", ""))
        fits = all(self.used(name) + (0 if name == "cpu" and run.step.get("fills")
                                      else run.step.get(name, 0)) <= self.capacity[name]
                   for name in self.capacity)
        if self.enforces and not fits:
            self.prolong(order["deadline_ms"])
            return self.answer(409, "room")
        self.world.judge.started(self, run, order, late)
        if run.saved:
            run.restored_at = now() + 0.1
            run.worked = float(run.saved.rsplit("/", 1)[1])
        self.running[task] = run
        self.prolong(order["deadline_ms"])
        return self.answer(200)

    def run_stop(self, order):
        task, number = order["task"], int(order["run"])
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and run.stopping_at is None:
            run.stopping_at = now() + self.STOP_MS / 1000
        return self.answer(200)


# Instances of godwitfall


def limit_descriptors():
    """DEPLOY.md: limits.max_fds of the small sites; the process gets no more."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Instance:
    """A process of the project, started with the command of deploy/system.toml."""

    def __init__(self, world, index, folder, zone, port, settings):
        self.world = world
        self.name = f"edge-{zone}-{index}"
        ip = f"127.0.{world.network}.{10 + index}"
        self.ip = ip
        self.front = f"{ip}:{port}"
        self.ready = f"{ip}:{port + 1}"
        self.config = os.path.join(folder, self.name + ".conf")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None
        self.wanted = True
        self.ends = []
        self.door = None
        if world.own_doors:
            self.door = Door(world.store, f"127.0.{world.network}.{50 + index}:8169")
        store = self.door.address if self.door else world.store_address
        bounds = "".join(f"{name}={value}\n" for name, value in settings.items())
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(
                f"node_name={self.name}\nrole=entry\nmachine_class=edge\nserves=edge\nip={ip}\n"
                f"zone={zone}\nregion=r\nlisten.front={self.front}\nlisten.ready={self.ready}\n"
                f"internal_ports={port + 2},{port + 10}\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.max_fds={MAX_FDS}\n"
                f"discovery=platform\norders=invocation\nadvice={world.advice}\n"
                f"platform.address={store}\nplatform.form=log\n{bounds}")

    async def keep(self):
        """Runs the process, and again whenever it has ended."""
        command = self.world.command
        while self.wanted:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
                stderr=self.log,
                preexec_fn=limit_descriptors,
                env={"PATH": "/usr/bin:/bin", "HOME": "/tmp", "LANG": "C",
                     "GODWITFALL_CONFIG": self.config})
            status = await self.process.wait()
            self.ends.append(status)
            self.process = None
            await asyncio.sleep(0.3)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.world.note("instance", name=self.name, signal=int(number))
            self.process.send_signal(number)


SETTINGS = {
    "heartbeat_ms": 1500, "bounds.contact_ms": 3000, "bounds.ack_ms": 4000,
    "bounds.drain_ms": 2000, "bounds.grace_s": 6, "bounds.loss_slack_ms": 200,
    "bounds.config_apply_ms": 2000, "bounds.rollback_slack_ms": 250, "bounds.hold_max_ms": 6000,
    "bounds.stop_ms": 400, "bounds.gang_ms": 3000, "bounds.cancel_ms": 3000,
    "bounds.visible_ms": 3000, "bounds.early_ms": 250, "bounds.finish_s": 14,
    "bounds.status_s": 120, "bounds.checkpoint_s": 1, "bounds.restore_ms": 100,
    "bounds.harm_ms": 4000, "bounds.fencing_required": "true",
}


class Judge:
    """Notes what workers saw, and which rule that breaks; RULES.md, "Jobs"."""

    def __init__(self, world):
        self.world = world
        self.starts = {}     # task -> list of [time, run, worker, life, late, ended]
        self.done = {}       # task -> list of [time, run, noted]
        self.failed = {}     # task -> set of runs noted or not
        self.values = {}     # (job, occurrence, step) or task -> checkpoints
        self.broken = []

    def breaks(self, rule, **what):
        self.broken.append(rule)
        self.world.note("BROKEN", rule=rule, **what)

    @staticmethod
    def group(run):
        return run.task.rsplit(".", 1)[0] if run.step.get("gang") else run.task

    def saved(self, run):
        self.values.setdefault(self.group(run), set()).add(run.saved)

    def started(self, worker, run, order, late):
        job, step = run.job, run.step
        where = dict(task=run.task, run=run.number, worker=worker.name, late=late)
        if job is None:
            self.breaks("UNASKED", why="no client sent it", **where)
            return
        if order["spec"] != job["spec"]:
            self.breaks("UNASKED", why="another spec", **where)
        if run.saved and run.saved not in self.values.get(self.group(run), ()):
            self.breaks("UNASKED", why="not a checkpoint of the task", **where)
        if step.get("requirements") and step["requirements"] not in worker.labels:
            self.breaks("ROUTE", why="label", **where)
        most = step.get("anti_affinity", 0)
        same = [other for other in worker.running.values()
                if other.task.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0]]
        if most and len(same) >= most and not late:
            self.breaks("ROUTE", why="anti_affinity", **where)
        for other in self.world.workers.values():
            twin = other.running.get(run.task) if other.up else None
            if twin and not step.get("speculative"):
                self.breaks("TWICE", why="two runs at once", other=other.name,
                            other_run=twin.number, **where)
        for end in self.done.get(run.task, []):
            if end["noted"]:
                self.breaks("TWICE", why="start after done", done_run=end["run"], **where)
        identity, occurrence, number, _ = run.task.split(".")
        for earlier in step.get("after", ()):
            for index in range(job["steps"][earlier]["count"]):
                name = f"{identity}.{occurrence}.{earlier}.{index}"
                if name not in self.done and not self.gang_done(job, earlier, name):
                    self.breaks("ORDER", why=f"before {name} is done", **where)
        if job.get("repeat_count"):
            due = job["first_run_ms"] + int(occurrence) * job["interval_ms"]
            if unix_ms() < due - 250:
                self.breaks("ORDER", why="early", **where)
        if not step.get("long_running"):
            fails = self.failed.get(self.group(run), set())
            if len(fails) >= job["attempts"]:
                self.breaks("BUDGET", failed=sorted(fails), **where)
        if not worker.enforces:
            for name in worker.capacity:
                if worker.used(name) + run.step.get(name, 0) > worker.capacity[name]:
                    self.breaks("LIMIT", **where)
        if job.get("cancel_acked") and now() - job["cancel_acked"] > 3.0 and not late:
            self.breaks("UNASKED", why="after its cancel", **where)
        self.starts.setdefault(run.task, []).append(
            {"at": now(), "run": run.number, "worker": worker.name, "late": late})

    def gang_done(self, job, step, name):
        if not job["steps"][step].get("gang"):
            return False
        stem = name.rsplit(".", 1)[0]
        return any(f"{stem}.{i}" in self.done for i in range(job["steps"][step]["count"]))

    def ended(self, worker, run, how, row):
        if how == "done":
            self.done.setdefault(run.task, []).append(
                {"at": now(), "run": run.number, "noted": False, "worker": worker.name,
                 "life": worker.life, "row": row[0], "lapsed": False})
        if how == "failed":
            self.failed.setdefault(self.group(run), set()).add(run.number)

    def noted(self, worker, row):
        for end in self.done.get(row[1], []):
            if end["worker"] != worker.name or end["life"] != worker.life or end["row"] != row[0]:
                continue
            if end["noted"]:
                continue
            if worker.lease_lapsed_since(end["at"]):
                continue  # Not taken note of; that stands for good.
            end["noted"] = True
            for start in self.starts.get(row[1], []):
                if start["at"] > end["at"]:
                    self.breaks("TWICE", why="done end noted after a later start", task=row[1],
                                done_run=end["run"], run=start["run"], late=start["late"])

    def gone(self, worker, run, why):
        pass


class World:
    def __init__(self, folder, network=40, seed=1, record=None):
        self.folder = folder
        self.network = network
        self.random = random.Random(seed)
        self.store_address = f"127.0.{network}.2:8169"
        self.own_doors = False     # Give each instance an address of the store of its own.
        self.advice = f"127.0.{network}.3:8169"
        self.store = Store(self, self.store_address)
        self.workers = {}
        self.instances = {}
        self.jobs = {}
        self.judge = Judge(self)
        self.began = now()
        self.record = open(record or os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.command = command_of_deploy_file()
        self.tasks = []
        self.failure = None      # run -> bool, says whether a run fails now.
        self.length = None       # run -> ms of work

    def note(self, kind, **what):
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in what.items())
        self.record.write(f"{now() - self.began:8.3f} {kind} {text}\n")
        self.record.flush()

    def job_of(self, task):
        identity, _, step, _ = task.split(".")
        job = self.jobs.get(identity)
        if job is None:
            return None, None
        return job, job["steps"][int(step)]

    def length_of(self, run):
        return self.length(run) if self.length else max(1, run.step.get("estimated_ms", 1000))

    def fails(self, run):
        return bool(self.failure and self.failure(run))

    def gang(self, run):
        """Returns the members of the run's gang that are present, with their workers."""
        stem = run.task.rsplit(".", 1)[0]
        members = []
        for worker in self.workers.values():
            if not worker.up:
                continue
            for other in worker.running.values():
                if (other.task.rsplit(".", 1)[0] == stem and other.number == run.number
                        and other.stopping_at is None):
                    members.append((worker, other))
        return members

    def add_worker(self, index, **how):
        address = f"127.{index // 100}.{self.network}.{100 + index % 100}:8080"
        worker = Worker(self, f"i-{index:08x}", address, how.pop("zone", "z1"), "svc", **how)
        self.workers[worker.name] = worker
        return worker

    def add_instance(self, index, zone="z1", settings=None):
        instance = Instance(self, index, self.folder, zone, 8160, settings or SETTINGS)
        self.instances[instance.name] = instance
        return instance

    def configure(self, routes, version=1, enforces=True):
        self.routes = {route["name"]: route for route in routes}
        self.store.put("keyed.op", "config", as_json({
            "version": version, "routes": routes,
            "services": [{"name": "svc", "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": enforces,
                          "spare": False}],
            "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}))

    async def start(self):
        for server in (self.store, *self.store.doors):
            await server.server.start()
        for worker in self.workers.values():
            await worker.start()
            self.tasks.append(asyncio.create_task(worker.beat()))
        self.tasks.append(asyncio.create_task(self.ticks()))
        for instance in self.instances.values():
            self.tasks.append(asyncio.create_task(instance.keep()))
        for _ in range(200):
            answers = [await call(i.ready, "GET", "/godwitfall/readiness", timeout=1.0)
                       for i in self.instances.values()]
            if all(answer and answer[0] == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ticks(self):
        last = now()
        while True:
            await asyncio.sleep(0.02)
            passed, last = now() - last, now()
            for worker in self.workers.values():
                worker.tick(passed)

    async def stop(self):
        for instance in self.instances.values():
            instance.wanted = False
            if instance.process and instance.process.returncode is None:
                try:
                    instance.process.send_signal(signal.SIGCONT)
                    instance.process.kill()
                except ProcessLookupError:
                    pass
        for instance in self.instances.values():
            if instance.process:
                await instance.process.wait()
        await asyncio.sleep(0.5)
        for task in self.tasks:
            task.cancel()
        for server in (self.store, *self.store.doors):
            await server.server.stop()
        for worker in self.workers.values():
            if worker.server:
                await worker.server.stop()

    # Clients

    async def submit(self, route, steps, spec="text", instances=None, **more):
        """Hands a job in as a client does, with up to four retries at other instances; returns
        its id and the last status."""
        identity = f"{self.random.getrandbits(64):016x}"
        rules = self.routes[route]
        job = {"spec": spec, "steps": steps, **more}
        self.jobs[identity] = {**job, "attempts": rules["max_attempts"], "route": route,
                               "acked": None, "rejected": 0, "tries": 0, "cancelled": False}
        status = await self.send(identity, job, instances)
        return identity, status

    async def send(self, identity, job, instances=None):
        entry = self.jobs[identity]
        rules = self.routes[entry["route"]]
        status = None
        for attempt in range(5):
            instance = self.random.choice(instances or list(self.instances.values()))
            entry["tries"] += 1
            answer = await call(instance.front, "POST", rules["path_prefix"] + identity,
                                {"Host": rules["host"], "X-Deadline-Ms": "3000"}, as_json(job))
            status = answer[0] if answer else None
            self.note("client", post=identity, at=instance.name, status=status)
            if status == 200:
                entry["acked"] = entry["acked"] or now()
                return status
            if status in (404, 429, 503):
                entry["rejected"] += 1
            await asyncio.sleep(0.2 + 0.3 * attempt)
        return status

    async def ask(self, method, identity, instances=None, tries=1):
        entry = self.jobs[identity]
        rules = self.routes[entry["route"]]
        answer = None
        for _ in range(tries):
            instance = self.random.choice(instances or list(self.instances.values()))
            answer = await call(instance.front, method, rules["path_prefix"] + identity,
                                {"Host": rules["host"], "X-Deadline-Ms": "3000"})
            if answer and answer[0] in (200, 410):
                break
            await asyncio.sleep(0.3)
        if answer is None:
            return None, None
        try:
            state = json.loads(answer[1]).get("state")
        except ValueError:
            state = None
        return answer[0], state

    async def waiting(self, route, instance):
        rules = self.routes[route]
        answer = await call(instance.front, "GET", rules["path_prefix"],
                            {"Host": rules["host"], "X-Deadline-Ms": "3000"})
        return json.loads(answer[1])["waiting"] if answer and answer[0] == 200 else None

    async def cancel(self, identity):
        self.jobs[identity]["cancelled"] = True
        status, _ = await self.ask("DELETE", identity, tries=4)
        if status in (200, 410):
            self.jobs[identity]["cancel_acked"] = now()
        return status


def command_of_deploy_file():
    import tomllib
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
    return command


def route(name, priority=0, attempts=2, service="svc"):
    return {"name": name, "host": f"{name}.example", "path_prefix": f"/{name}/",
            "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250,
            "priority": priority, "service": service, "max_attempts": attempts, "stretch": 1.5}
