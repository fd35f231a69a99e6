"""Stand-ins of the users' platform on loopback addresses: store, workers, clients, and the project's processes.

They follow PROTOCOL.md and DEPLOY.md; Python's standard library only.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

CLOSE = object()  # the connection is closed without an answer


def now_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, with the time since the start; goes to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def line(self, who, what):
        self.file.write(f"{self.now():8.3f} s  {who:<12} {what}\n")
        self.file.flush()


class HttpServer:
    """Serves HTTP/1.1 on one address; handler(method, target, headers, body) gives (status, body)."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 24, backlog=256)

    def stop(self):
        """As when the process ends: the port refuses, connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for text in lines[1:]:
                    if ":" in text:
                        name, value = text.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                reply = await self.handler(method, target, headers, body)
                if reply is CLOSE:
                    break
                status, data = reply
                kind = "application/octet-stream" if isinstance(data, bytes) else "application/json"
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Topic:
    def __init__(self):
        self.records = []  # framed content
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> [epoch, last seq, {seq: reply}]
        self.changed = asyncio.Event()

    def add(self, content):
        length = content[0]
        key, value = content[1:1 + length], content[1 + length:]
        offset = len(self.records)
        self.records.append(content)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return offset


class Store:
    """The platform's metadata store."""

    def __init__(self, host, port, record):
        self.topics = {}
        self.record = record
        self.latency = 0.004
        self.server = HttpServer(host, port, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        key = key.encode()
        self.topic(topic).add(bytes([len(key)]) + key + value)

    def value(self, topic, key):
        found = self.topic(topic).newest.get(key.encode())
        return found[1] if found else None

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(self.latency / 2)
        reply = (404, {"error": "no such call"})
        if url.path == "/godwitfall/log-append":
            reply = await self.append(query, body)
        elif url.path == "/godwitfall/log-read":
            reply = await self.read(query)
        elif url.path == "/godwitfall/log-newest":
            reply = self.read_newest(query)
        await asyncio.sleep(self.latency / 2)
        return reply

    async def append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        contents = []
        at = 0
        while at + 4 <= len(body):
            length = struct.unpack(">I", body[at:at + 4])[0]
            contents.append(body[at + 4:at + 4 + length])
            at += 4 + length
        topic = self.topic(name)
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        state = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq_no"])
            state = topic.producers.get(query["producer"])
            if state and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state and epoch == state[0]:
                if seq in state[2]:
                    return state[2][seq]
                if seq != state[1] + 1:
                    return 409, {"reason": "seq", "seq_no": state[1] + 1}
            else:
                state = topic.producers[query["producer"]] = [epoch, seq, {}]
        first = len(topic.records)
        for content in contents:
            topic.add(content)
        reply = (200, {"offset": first, "end": len(topic.records)})
        if state:
            state[1] = seq
            state[2][seq] = reply
            for old in [s for s in state[2] if s <= seq - 5]:
                del state[2][old]
        return reply

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            event = topic.changed
            try:
                await asyncio.wait_for(event.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in topic.records[start:]:
            size += len(content)
            if size > int(query.get("max_kb", "1024")) * 1024 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def read_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"key": key.decode(), "value": base64.b64encode(topic.newest[key][1]).decode(),
                  "offset": topic.newest[key][0]} for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "end": len(topic.records)}


class Run:
    def __init__(self, task, number, work_ms, spec):
        self.task, self.number, self.spec = task, number, spec
        self.begun = time.monotonic()
        self.work_ms = work_ms
        self.lasts = work_ms <= 0


class Worker:
    """A worker; `up` says whether its process runs."""

    stop_ms = 60
    hold_max_ms = 6000

    def __init__(self, name, host, port, service, record, store, kind="a", rack="r1", zone="z1",
                 cpu=16000, mem_mb=64000, guards=True, outcome=None):
        self.name, self.host, self.port, self.service = name, host, port, service
        self.record, self.store = record, store
        self.kind, self.rack, self.zone = kind, rack, zone
        self.cpu, self.mem_mb, self.guards = cpu, mem_mb, guards
        self.outcome = outcome or (lambda run: "done")
        self.demand = lambda run: (0, 0)
        self.work_ms = lambda spec: int(spec)
        self.up = False
        self.state = "ready"
        self.starts = []  # (time, task, run, born)
        self.ends = []  # (time, task, run, how, born)
        self.seq_no = 0
        self.server = HttpServer(host, port, self.handle)

    async def begin(self):
        self.up = True
        self.born = now_ms()
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.stopped = {}
        self.ended = []
        self.numbers = 0
        self.changed = asyncio.Event()
        await self.server.listen()
        self.register()
        self.record.line(self.name, f"process begins, born {self.born}")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def register(self):
        self.seq_no += 1
        self.last_beat = time.monotonic()
        self.store.put("keyed.servers", self.name, json.dumps(
            {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
             "slots": 8, "state": self.state, "cold_remaining_ms": 0,
             "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": [self.kind, self.rack],
             "clock_ms": self.clock(), "born": self.born, "seq_no": self.seq_no}).encode())

    async def handle(self, method, target, headers, body):
        path = urlsplit(target).path
        order = json.loads(body or b"{}")
        base = {"clock_ms": self.clock(), "born": self.born}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, base
        return await self.apply(path, order)

    async def apply(self, path, order):
        base = {"clock_ms": self.clock(), "born": self.born}
        if order.get("fencing_token", 0) < self.fence:
            return 409, dict(base, reason="fence")
        self.fence = order.get("fencing_token", 0)
        if path == "/godwitfall/run-start":
            reply = self.start(order)
            self.record.line(self.name, f"start {order['task']} #{order['run']} token {order['fencing_token']}: "
                             f"{reply[0]} {reply[1].get('reason', '')}")
            return reply
        if path == "/godwitfall/run-stop":
            run = self.running.get(order["task"])
            self.stopped[order["task"]] = max(order["run"], self.stopped.get(order["task"], 0))
            self.record.line(self.name, f"stop {order['task']} #{order['run']}")
            if run and run.number <= order["run"]:
                asyncio.get_running_loop().call_later(self.stop_ms / 1000, self.end, run, "stopped", self.born)
            return 200, base
        if path == "/godwitfall/pace":
            return 200, base
        if path == "/godwitfall/hold":
            return await self.hold(order)
        return 404, base

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + self.hold_max_ms))

    def start(self, order):
        base = {"clock_ms": self.clock(), "born": self.born}
        task, number = order["task"], order["run"]
        present = self.running.get(task)
        if present and present.number == number:
            return 200, base
        if order["deadline_ms"] <= self.clock():
            return 409, dict(base, reason="late")
        if present or number <= self.stopped.get(task, 0):
            self.extend(order["deadline_ms"])
            return 409, dict(base, reason="old")
        run = Run(task, number, self.work_ms(order["spec"]), order["spec"])
        if self.guards:
            used = [self.demand(r) for r in self.running.values()] + [self.demand(run)]
            if sum(c for c, _ in used) > self.cpu or sum(m for _, m in used) > self.mem_mb:
                self.extend(order["deadline_ms"])
                return 409, dict(base, reason="room")
        self.extend(order["deadline_ms"])
        self.running[task] = run
        self.starts.append((time.monotonic(), task, number, self.born))
        return 200, base

    def end(self, run, how, born=None):
        if not self.up or (born and born != self.born) or self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.stopped[run.task] = max(run.number, self.stopped.get(run.task, 0))
        self.numbers += 1
        self.ended.append([self.numbers, run.task, run.number, how, ""])
        self.ends.append((time.monotonic(), run.task, run.number, how, self.born))
        self.record.line(self.name, f"run {run.task} #{run.number} ends {how} (end {self.numbers})")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def hold(self, order):
        acked = order.get("ack_cursor", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        born = self.born
        wait = order.get("wait_ms", 0) / 1000
        if wait > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.up or self.born != born:
            return CLOSE
        running = [[r.task, r.number, "", min(100, int(100 * (time.monotonic() - r.begun) * 1000 /
                                                      max(1, r.work_ms))) if not r.lasts else 100, 0]
                   for r in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def tick(self):
        if not self.up:
            return
        now = time.monotonic()
        for run in list(self.running.values()):
            if self.clock() > self.deadline:
                self.end(run, "lapsed")
            elif not run.lasts and (now - run.begun) * 1000 >= run.work_ms:
                self.end(run, self.outcome(run))
        if now - self.last_beat >= 1.5:
            self.register()


class Fleet:
    """Ticks the workers."""

    def __init__(self, workers):
        self.workers = workers
        self.ended = False

    async def run(self):
        while not self.ended:
            for worker in self.workers:
                worker.tick()
            await asyncio.sleep(0.01)


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Instance:
    """A process of the project, started by the command of the deploy file."""

    def __init__(self, name, host, zone, store, folder, repository, record, ports, extra=()):
        self.name, self.host, self.repository, self.record = name, host, repository, record
        self.front, self.ready, self.control, self.internal, self.metrics = ports
        self.settings = os.path.join(folder, f"{name}.conf")
        self.output = os.path.join(folder, f"{name}.log")
        self.process = None
        values = {
            "node_name": name, "role": "entry", "machine_class": "edge", "serves": "edge", "ip": host, "zone": zone,
            "region": "r", "listen.front": f"{host}:{self.front}", "listen.ready": f"{host}:{self.ready}",
            "listen.control": f"{host}:{self.control}", "internal_ports": f"{self.internal},{self.internal}",
            "seeds": "", "bootstrap": "true", "limits.cpu_share": "0.25", "limits.cores": "1",
            "limits.memory_mb": "260", "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1500", "bounds.contact_ms": "3000", "bounds.ack_ms": "4000", "bounds.drain_ms": "2000",
            "bounds.grace_s": "6", "bounds.config_apply_ms": "2000", "bounds.hold_max_ms": "6000",
            "bounds.stop_ms": "400", "bounds.gang_ms": "3000", "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000", "bounds.status_s": "120", "bounds.lease_ms": "3000",
            "bounds.harm_ms": "4000", "orders": "invocation", "platform.address":
            f"{store.server.host}:{store.server.port}", "platform.form": "log", "platform.record_bytes": "262144",
            "platform.call_bytes": "2097152", "platform.keep_s": "300"}
        values.update(dict(extra))
        with open(self.settings, "w", encoding="utf-8") as file:
            for key, value in values.items():
                file.write(f"{key}={value}\n")

    def start(self):
        out = open(self.output, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8",
                       "GODWITFALL_CONFIG": self.settings}
        self.process = subprocess.Popen(["target/godwitfall", "instance", "--metrics-port", str(self.metrics)],
                                        cwd=self.repository, env=environment, stdout=out, stderr=out)
        self.record.line(self.name, f"process {self.process.pid} starts")

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.line(self.name, f"gets {signal.Signals(number).name}")

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()


async def call(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """One HTTP call on a connection of its own; gives (status, body) or (None, why)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = f"{method} {path} HTTP/1.1\r\n"
            for name, value in (headers or {}).items():
                text += f"{name}: {value}\r\n"
            writer.write((text + f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body)
            await writer.drain()
            data = await reader.read()
            head, _, rest = data.partition(b"\r\n\r\n")
            if not head:
                return None, "cut, no answer"
            return int(head.split(b" ")[1]), rest
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "deadline"
    except (OSError, ValueError, IndexError) as error:
        return None, f"no connection: {error}"


class Client:
    """A client of the job API; retries as PROTOCOL.md says."""

    def __init__(self, instances, host, prefix, record):
        self.instances, self.host, self.prefix, self.record = instances, host, prefix, record

    async def ask(self, instance, method, path, body=b"", quiet=False):
        status, data = await call(instance.host, instance.front, method, self.prefix + path,
                                  {"Host": self.host, "X-Deadline-Ms": "3000", "Content-Type": "application/json"},
                                  body)
        if not quiet:
            self.record.line("client", f"{method} {self.prefix}{path} at {instance.name}: {status} "
                             f"{data if status is None else data.decode(errors='replace')[:200]}")
        return status, data

    async def submit(self, job, spec, steps, tries=4, **fields):
        body = json.dumps(dict({"spec": spec, "steps": steps}, **fields)).encode()
        answers = []
        for attempt in range(tries):
            instance = self.instances[attempt % len(self.instances)]
            status, _ = await self.ask(instance, "POST", job, body)
            answers.append(status)
            if status == 200:
                break
            await asyncio.sleep(0.3)
        return answers

    async def state(self, job, quiet=True, instance=None):
        for candidate in [instance] if instance else self.instances:
            status, data = await self.ask(candidate, "GET", job, quiet=quiet)
            if status == 200:
                return json.loads(data)["state"]
            if status == 410:
                return "410"
        return None


def config(version, queues, services):
    return json.dumps({
        "version": version,
        "routes": [dict({"kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
                         "max_attempts": 2, "stretch": 1.5}, **queue) for queue in queues],
        "services": [dict({"health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False,
                           "enforces_capacity": True, "spare": False}, **service) for service in services],
        "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}).encode()


class World:
    """Store, workers, instances and a client of one small deployment."""

    def __init__(self, repository, record_path, base="127.41"):
        self.repository = repository
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="godwitfall-case-")
        self.base = base
        host = f"{base}.0.1"
        self.store = Store(host, free_ports(host, 1)[0], self.record)
        self.workers, self.instances = [], []
        self.fleet = Fleet(self.workers)
        self.tasks = []

    def add_worker(self, **fields):
        number = len(self.workers) + 1
        host = f"{self.base}.1.{number}"
        worker = Worker(f"i-{number:04d}", host, free_ports(host, 1)[0], "work", self.record, self.store, **fields)
        self.workers.append(worker)
        return worker

    def add_instance(self, extra=(), zone="z1"):
        number = len(self.instances) + 1
        host = f"{self.base}.2.{number}"
        instance = Instance(f"edge-{number}", host, zone, self.store, self.folder, self.repository, self.record,
                            free_ports(host, 5), extra)
        self.instances.append(instance)
        return instance

    async def begin(self, queues=None, services=None):
        await self.store.server.listen()
        queues = queues or [{"name": "q", "host": "jobs.example", "path_prefix": "/q/", "service": "work"}]
        self.store.put("keyed.op", "config", config(1, queues, services or [{"name": "work"}]))
        for worker in self.workers:
            await worker.begin()
        self.tasks.append(asyncio.ensure_future(self.fleet.run()))
        for instance in self.instances:
            instance.start()
        self.client = Client(self.instances, "jobs.example", "/q/", self.record)
        for _ in range(100):
            ready = [(await call(i.host, i.ready, "GET", "/godwitfall/readiness", timeout=1))[0] == 200
                     for i in self.instances]
            if all(ready) and self.store.value("keyed.jobs", "owner"):
                await asyncio.sleep(1.0)
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        self.fleet.ended = True
        for instance in self.instances:
            instance.kill()
        for worker in self.workers:
            worker.server.stop()
        self.store.server.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)
