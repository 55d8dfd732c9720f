"""Stand-ins for the platform's store, the application workers, the clients and a network path.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Only the Python standard library is used. All addresses are loopback
addresses: machine N of a case has the address 127.77.R.N, where R is drawn so that cases can run side by side.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length; returns (start line, fields, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("content-length"):
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def encode(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: a log with topics, `log-append`, `log-read` and `log-newest`."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.era = 1
        self.server = None
        self.writers = set()
        self.views = []

    async def listen(self, host, port, view=None):
        """Serves at an address. `view` maps texts to texts of the same length: a network path on which the addresses of
        some machines are translated, so that a proxy lies between them and the reader."""

        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                while True:
                    start, _, body = await read_message(reader)
                    method, target, _ = start.split(" ", 2)
                    status, answer, kind = await self.call(method, target, body, view)
                    fields = [("Content-Type", kind), ("Store-Era", str(self.era))]
                    writer.write(encode(f"HTTP/1.1 {status} X", fields, answer))
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, host, port, limit=1 << 22)
        self.views.append((server, host, port, view))

    async def go_down(self):
        """Refuses connections and resets the open ones."""
        views, self.views = self.views, []
        for server, *_ in views:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        return views

    async def come_back(self, views):
        for _, host, port, view in views:
            await self.listen(host, port, view)

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, key, value):
        """Appends one record of a keyed topic; returns its offset."""
        name = key.encode()
        self.log(topic).append(bytes([len(name)]) + name + value)
        return len(self.log(topic)) - 1

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return {topic: list(log) for topic, log in self.topics.items()}

    async def call(self, method, target, body, view):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        topic = query.get("topic", "")
        if method == "POST" and path == "/marigoldproxy/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}", "application/json"
            log = self.log(topic)
            if "at" in query and int(query["at"]) != len(log):
                return 412, json.dumps({"end": len(log)}).encode(), "application/json"
            first = len(log)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                log.append(body[4 : 4 + size])
                body = body[4 + size :]
            await self.notify()
            answer = {"offset": first, "end": len(log)}
            return 200, json.dumps(answer).encode(), "application/json"
        if method == "GET" and path == "/marigoldproxy/log-read":
            start = int(query["from"])
            if start > len(self.log(topic)) and self.era > 1:
                # It doesn't have this offset, since it came back from a copy.
                return 410, json.dumps({"first": 0}).encode(), "application/json"
            wait = min(int(query.get("wait_ms", "0")), 30000) / 1000
            if start >= len(self.log(topic)) and wait > 0:
                try:
                    async with self.changed:
                        has_new = lambda: len(self.log(topic)) > start
                        await asyncio.wait_for(self.changed.wait_for(has_new), wait)
                except asyncio.TimeoutError:
                    pass
            log = self.log(topic)
            parts = [struct.pack(">QQ", len(log), 0)]
            for item in log[start:]:
                item = translate(item, view)
                parts.append(struct.pack(">I", len(item)) + item)
            return 200, b"".join(parts), "application/octet-stream"
        if method == "GET" and path == "/marigoldproxy/log-newest":
            newest = {}
            for offset, item in enumerate(self.log(topic)):
                item = translate(item, view)
                key, value = item[1 : 1 + item[0]].decode(), item[1 + item[0] :]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if key > query.get("after", "")
            ]
            answer = {"items": items, "has_more": False, "end": len(self.log(topic))}
            return 200, json.dumps(answer).encode(), "application/json"
        return 404, b"{}", "application/json"


def translate(item, view):
    for old, new in (view or {}).items():
        item = item.replace(old.encode(), new.encode())
    return item


class Worker:
    """An application worker. `run_s` maps a path to how long it works on a request."""

    def __init__(self, record, name, service, host, port, control, zone, capacity=8):
        self.record, self.name, self.service = record, name, service
        self.host, self.port, self.control, self.zone = host, port, control, zone
        self.capacity = capacity
        self.identity = f"i-{random.randrange(1 << 32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.slots = asyncio.Semaphore(capacity)
        self.run_s = lambda path: 0.02
        self.answer_bytes = lambda path: 200
        self.tasks = []
        self.acks = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 27)
        self.tasks.append(asyncio.create_task(self.beat()))

    def heartbeat(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "cold_remaining_s": 0,
            "seq": self.sequence,
        }
        return json.dumps(body).encode()

    async def beat_once(self):
        path = f"/marigoldproxy/Instances.Heartbeat/{self.identity}"
        return await post(self.control, path, self.heartbeat())

    async def beat(self):
        while True:
            try:
                if await asyncio.wait_for(self.beat_once(), 1) == 200:
                    self.acks += 1
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(1.5 if self.acks else 0.3)

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields, body = await read_message(reader)
                method, path, _ = start.split(" ", 2)
                if path == "/health":
                    status = 200 if self.state == "ready" else 503
                    own = [("Instance-Id", self.identity)]
                    writer.write(encode(f"HTTP/1.1 {status} X", own))
                    await writer.drain()
                    if "close" in fields.get("connection", ""):
                        return
                    continue
                request = fields.get("request-id")
                expected = fields.get("expected-instance")
                if expected and expected != self.identity:
                    self.record.line(f"worker {self.name} rejects {request}: it expects another instance")
                    answer = [("Request-Id", request), ("Instance-Id", self.identity), ("Not-Executed", "1")]
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", answer))
                    await writer.drain()
                    continue
                async with self.slots:
                    self.record.line(f"worker {self.name} RUNS {request} {method} {path}")
                    self.runs.append((request, method, path))
                    await asyncio.sleep(self.run_s(path))
                answer = [("Request-Id", request), ("Response-Signature", f"s-{request}-{self.name}")]
                writer.write(encode("HTTP/1.1 200 OK", answer, b"x" * self.answer_bytes(path)))
                await writer.drain()
                self.record.line(f"worker {self.name} has answered {request}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def post(address, path, body):
    """Sends one call to a daemon; returns its status."""
    host, port = address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = f"POST {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        start, _, _ = await read_message(reader)
        return int(start.split(" ")[1])
    finally:
        writer.close()


class Client:
    """Sends requests to the `outbound` address of its machine, each on a new connection."""

    def __init__(self, record, address, host="app.example"):
        self.record, self.address, self.host = record, address, host

    async def send(self, method, path, deadline_ms, body=b"", fields=(), quiet=False):
        """Returns (request id, status or None, fields, body length)."""
        request = f"{random.randrange(1 << 64):016x}"
        if not quiet:
            self.record.line(f"client sends {request} {method} {path}, deadline {deadline_ms} ms")
        try:
            work = self.exchange(method, path, deadline_ms, body, request, fields)
            status, answer, size = await asyncio.wait_for(work, deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            if not quiet:
                self.record.line(f"client has no answer to {request}: {type(error).__name__}")
            return request, None, {}, 0
        if not quiet:
            self.record.line(f"client is answered {request}: {status}, {size} bytes")
        return request, status, answer, size

    async def exchange(self, method, path, deadline_ms, body, request, fields):
        reader, writer = await asyncio.open_connection(*self.address, limit=1 << 27)
        try:
            head = [("Host", self.host), ("Request-Id", request), ("Deadline-Ms", str(deadline_ms))]
            writer.write(encode(f"{method} {path} HTTP/1.1", head + list(fields), body))
            start, answer, content = await read_message(reader)
            return int(start.split(" ")[1]), answer, len(content)
        finally:
            writer.close()


class Path:
    """A network path between two machines: a proxy that can be cut. While it is cut, nothing passes and no connection is
    established; what is held up is lost when its sender closes or resets the connection."""

    def __init__(self, record, name, target):
        self.record, self.name, self.target = record, name, target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def cut(self):
        self.record.line(f"the path {self.name} is cut")
        self.open.clear()

    def heal(self):
        self.record.line(f"the path {self.name} is whole again")
        self.open.set()

    async def serve(self, reader, writer):
        was_cut = not self.open.is_set()
        if was_cut:
            # The opening packet is lost; its sender gives up or sends it again. A proxy can only let it wait, and end it
            # once the path is whole.
            await self.open.wait()
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        forth = asyncio.create_task(self.pump(reader, back))
        home = asyncio.create_task(self.pump(there, writer))
        await asyncio.wait([forth, home])

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                if not self.open.is_set():
                    # The sender's retransmissions get through after the cut, unless it has given the connection up.
                    await self.open.wait()
                    if reader.at_eof() or writer.is_closing():
                        break
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.transport.abort()


class Deployment:
    """Starts the project's daemons with the command and the template of the deploy file."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="marigold-review-")
        self.net = random.randrange(1, 250)
        self.base = random.randrange(20000, 28000)
        self.processes = {}
        self.settings = {}
        self.bounds = {
            "grace_period_s": 6,
            "retry_budget_ratio": 0.2,
            "retry_slack": 60,
            "retry_window_s": 10,
        }
        self.store = Store(self.record)
        self.version = 0

    def ip(self, machine):
        return f"127.77.{self.net}.{machine}"

    def port(self, use):
        names = ["outbound", "inbound", "ready", "control", "application", "store", "path", "store2"]
        return self.base + names.index(use)

    def address(self, machine, use):
        return self.ip(machine), self.port(use)

    def write_settings(self, machine, service, zone, memory_mb=260, store_port="store", extra=None):
        """Fills in the template as the platform does."""
        values = {
            "node_name": f"sidecar-{zone}-{machine}",
            "zone": zone,
            "service": service,
            "application_address": "%s:%d" % self.address(machine, "application"),
            "limits.memory_mb": memory_mb,
            "limits.link_mbps": "1000.0",
            "listen_addresses.outbound": "%s:%d" % self.address(machine, "outbound"),
            "listen_addresses.inbound": "%s:%d" % self.address(machine, "inbound"),
            "listen_addresses.ready": "%s:%d" % self.address(machine, "ready"),
            "listen_addresses.control": "%s:%d" % self.address(machine, "control"),
            "ip": self.ip(machine),
            "platform.address": "%s:%d" % (self.ip(250), self.port(store_port)),
        }
        bounds = dict(self.bounds, **(extra or {}))
        values.update({f"bounds.{name}": value for name, value in bounds.items()})
        with open(os.path.join(ROOT, "deploy", "sidecar.ini"), encoding="utf-8") as file:
            text = file.read()

        def section(match):
            return match.group(2) if match.group(1) in values else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values.get(match.group(1), "")), text)
        path = os.path.join(self.folder, f"boot-{machine}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.settings[machine] = path

    async def start_daemon(self, machine):
        command = os.path.join(ROOT, "target", "release", "marigold-sidecar")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "MARIGOLDPROXY_SETTINGS": self.settings[machine],
        }
        log = open(os.path.join(self.folder, f"log-{machine}.txt"), "ab")
        process = await asyncio.create_subprocess_exec(
            command, env=environment, stdout=log, stderr=log, cwd=ROOT
        )
        self.processes[machine] = process
        self.record.line(f"daemon {machine} is started")
        return process

    def signal(self, machine, name):
        self.record.line(f"daemon {machine} gets {name}")
        self.processes[machine].send_signal(getattr(signal, name))

    async def is_ready(self, machine):
        try:
            return await asyncio.wait_for(get_status(self.address(machine, "ready")), 1) == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, machines, limit_s=15):
        end = time.monotonic() + limit_s
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise CannotRun(f"daemon {machine} isn't ready")
                await asyncio.sleep(0.1)

    async def put_config(self, routes, services, tenants=None, note=""):
        """Writes the next version as the operator does; the store's acknowledgement follows at once."""
        self.version += 1
        document = {
            "version": f"{self.version:08x}",
            "routes": routes,
            "services": {
                name: {"health_check_path": "/health", "max_connections": 120} for name in services
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
        }
        if tenants is not None:
            document["tenants"] = tenants
        value = json.dumps(document).encode()
        offset = self.store.append("keyed.op", "config", value)
        self.record.line(f"the operator writes version {document['version']} at offset {offset} {note}")
        await self.store.notify()
        return value

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def get_status(address):
    host, port = address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET /marigoldproxy/readiness HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
        start, _, _ = await read_message(reader)
        return int(start.split(" ")[1])
    finally:
        writer.close()


def route(prefix, service, kind, timeout_s, priority=1, attempts=2):
    return {
        "host": "app.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_s": timeout_s,
        "target_latency_s": min(2, timeout_s),
        "priority": priority,
        "service": service,
        "max_attempts": attempts,
    }


class CannotRun(Exception):
    """The case could not be brought about."""


def main(folder, case, limit_s=110):
    """Runs a case: it returns a list of the ways in which the rule was broken."""

    async def run():
        deployment = Deployment(folder)
        if not os.path.exists(os.path.join(ROOT, "target", "release", "marigold-sidecar")):
            print("could not run: the program is not built")
            return 2
        try:
            broken = await asyncio.wait_for(case(deployment), limit_s)
        except Exception as error:
            text = f"could not run: {type(error).__name__} {error}"
            deployment.record.line(text)
            print(text)
            return 2
        finally:
            await deployment.close()
        for text in broken:
            deployment.record.line(f"BROKEN: {text}")
            print(f"broken: {text}")
        if not broken:
            deployment.record.line("the rule held")
            print("the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
