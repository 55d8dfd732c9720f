"""Stand-ins for a small deployment of the users' platform: its metadata store, workers, clients, and a supervisor of the
project's daemons, which it starts with the command of the deploy file. Only the standard library is used.

They do what PROTOCOL.md and DEPLOY.md say, and nothing that these pages don't allow.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# DEPLOY.md: "A process that exits or is killed is restarted after a short delay".
RESTART_DELAY_S = 0.7
HEARTBEAT_INTERVAL_S = 1.5
LINK_PIECE_BYTES = 256 << 10
BOUNDS = {
    "grace_period_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_slack": 58,
    "retry_window_s": 10,
}


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        # When each request was sent.
        self.sent_at = {}

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


def free_port(ip):
    """Returns a port below those that the system gives to outgoing connections, since a daemon that starts again needs it."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


async def read_head(reader):
    """Returns the first line, the header fields (names in lower case) and the raw head, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class HttpServer:
    """A minimal HTTP/1.1 server."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, self.ip, self.port, limit=1 << 20
        )

    async def stop(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.close()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.handle(method, target, head[1], body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, status, fields, body):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        return True

    async def handle(self, method, target, fields, body, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store, a log with keyed topics."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.topics = {}
        self.changed = asyncio.Condition()
        self.is_down = False
        # Addresses in the records of daemons, and those that replace them for whoever reads here, as a network that
        # translates addresses would.
        self.translation = {}

    def second_address(self, port, translation):
        """Returns the same store at another port, with a translation."""
        other = Store(self.ip, port)
        other.topics, other.changed, other.translation = self.topics, self.changed, translation
        return other

    def translate(self, record):
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        for real, shown in self.translation.items():
            key = shown if key == real else key
            value = value.replace(f'"{real}"'.encode(), f'"{shown}"'.encode())
        return self.encode(key, value)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def write(self, name, key, value):
        """A write of the operator."""
        self.topic(name).append(self.encode(key, value))
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def encode(key, value):
        key = key.encode()
        return bytes([len(key)]) + key + value

    async def handle(self, method, target, fields, body, writer):
        await asyncio.sleep(0.004)
        if self.is_down:
            # PROTOCOL.md: "A 503 response means that nothing was done."
            return await self.answer(writer, 503, {}, b"")
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        records = self.topic(query.get("topic", ""))
        if path.endswith("/log-read"):
            return await self.read(query, records, writer)
        if path.endswith("/log-append"):
            return await self.append(query, records, body, writer)
        if path.endswith("/log-newest"):
            return await self.newest(records, writer)
        return await self.answer(writer, 404, {}, b"")

    async def read(self, query, records, writer):
        start, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self.changed:
                while len(records) <= start and not self.is_down:
                    await self.changed.wait()
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(records), 0)
        for record in map(self.translate, records[start:]):
            body += struct.pack(">I", len(record)) + record
        return await self.answer(writer, 200, {}, body)

    async def append(self, query, records, body, writer):
        if "at" in query and int(query["at"]) != len(records):
            reply = json.dumps({"end": len(records)}).encode()
            return await self.answer(writer, 412, {}, reply)
        offset = len(records)
        while body:
            (size,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        async with self.changed:
            self.changed.notify_all()
        reply = json.dumps({"offset": offset, "end": len(records)}).encode()
        return await self.answer(writer, 200, {}, reply)

    async def newest(self, records, writer):
        newest = {}
        for offset, record in enumerate(map(self.translate, records)):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in newest.items()
        ]
        reply = {"items": items, "has_more": False, "end": len(records)}
        return await self.answer(writer, 200, {}, json.dumps(reply).encode())


class Proxy:
    """The path to a daemon's address for other daemons."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.ip, self.port)

    async def refuse(self):
        """Resets the connections and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def carry(self, reader, writer):
        try:
            while piece := await reader.read(65536):
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


class Worker(HttpServer):
    """An application worker. `work` returns the run time and the body of the answer to a request."""

    def __init__(self, machine, identity, record, capacity, work):
        super().__init__(machine.ip, machine.ports["application"])
        self.machine, self.identity, self.record = machine, identity, record
        self.capacity, self.work = capacity, work
        self.slots = asyncio.Semaphore(capacity)
        self.queued = 0
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.beats = None

    async def begin(self):
        await self.start()
        self.beats = asyncio.ensure_future(self.send_heartbeats())

    async def end(self):
        if self.beats:
            self.beats.cancel()
        await self.stop()

    async def send_heartbeats(self):
        while True:
            try:
                await self.heartbeat()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def heartbeat_body(self):
        self.sequence += 1
        return {
            "service": self.machine.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "cold_remaining_s": 0,
            "seq": self.sequence,
        }

    async def heartbeat(self):
        return await self.control("Heartbeat", self.heartbeat_body())

    async def control(self, call, body=None):
        """Calls the daemon on its own machine; returns the status."""
        data = b"" if body is None else json.dumps(body).encode()
        path = f"/marigoldproxy/Instances.{call}/{self.identity}"
        address = self.machine.ip, self.machine.ports["control"]
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    f"POST {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                    + data
                )
                head = await read_head(reader)
                return int(head[0].split()[1]) if head else None
            finally:
                writer.close()

    async def handle(self, method, target, fields, body, writer):
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return await self.answer(writer, status, {"Instance-Id": self.identity}, b"")
        expected = fields.get("expected-instance")
        if expected is not None and expected != self.identity:
            return await self.answer(writer, 421, {"Instance-Id": self.identity}, b"")
        if "request-id" not in fields:
            return await self.answer(writer, 400, {"Not-Executed": "1"}, b"")
        if self.queued >= 24:
            return await self.answer(writer, 503, {"Not-Executed": "1"}, b"")
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        try:
            request = fields["request-id"]
            at = self.record.now()
            self.runs.append((at, request, method, target, len(body), fields))
            self.record.write(
                f"run {request} {method} {target} {len(body)} bytes on {self.identity}"
            )
            run_s, answer = self.work(method, target, body)
            await asyncio.sleep(run_s)
        finally:
            self.slots.release()
        signature = f"{self.identity}.{request}"
        names = {"Request-Id": request, "Response-Signature": signature}
        return await self.answer(writer, 200, names, answer)


class Machine:
    """A `sidecar` machine: one daemon beside one worker, on a loopback address of its own."""

    def __init__(self, mesh, index, zone, service, memory_mb):
        self.mesh, self.zone, self.service = mesh, zone, service
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"{mesh.prefix}.{index + 10}"
        self.memory_mb = memory_mb
        self.store = mesh.store
        names = "inbound", "outbound", "ready", "control", "application", "metrics"
        self.ports = {name: free_port(self.ip) for name in names}
        self.process = None
        self.is_kept_up = False
        self.ends = []
        self.peak_mb = 0.0
        self.keeper = None

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "sidecar.ini"), encoding="utf-8") as file:
            text = file.read()
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "service": self.service,
            "application_address": f"{self.ip}:{self.ports['application']}",
            "limits.memory_mb": self.memory_mb,
            "limits.link_mbps": 1000.0,
            "ip": self.ip,
            "platform.address": f"{self.store.ip}:{self.store.port}",
        }
        for name in ("inbound", "outbound", "ready", "control"):
            values[f"listen_addresses.{name}"] = f"{self.ip}:{self.ports[name]}"
        for name, value in BOUNDS.items():
            values[f"bounds.{name}"] = value
        text = re.sub(r"\{\{#.*?\{\{/.*?\}\}\n?", "", text, flags=re.DOTALL)
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: str(values[match[1]]), text)
        return text.replace(f"{self.ip}:9464", f"{self.ip}:{self.ports['metrics']}")

    async def start(self):
        path = os.path.join(self.mesh.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.mesh.command,
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "MARIGOLDPROXY_SETTINGS": path},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.mesh.record.write(f"{self.name} starts, process {self.process.pid}")

    async def keep_up(self):
        self.is_kept_up = True
        while self.is_kept_up:
            await self.start()
            watch = asyncio.ensure_future(self.watch_memory(self.process))
            code = await self.process.wait()
            watch.cancel()
            self.ends.append((self.mesh.record.now(), code))
            if self.is_kept_up:
                self.mesh.record.say(f"{self.name} has ended with {code}")
                await asyncio.sleep(RESTART_DELAY_S)

    async def watch_memory(self, process):
        """DEPLOY.md: "A process that exceeds `memory_mb` is killed." Only its anonymous memory counts here, which is less
        than what the platform counts."""
        while process.returncode is None:
            used = 0.0
            try:
                with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                    for line in file:
                        if line.startswith("RssAnon:"):
                            used = int(line.split()[1]) * 1024 / 1e6
            except OSError:
                return
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.mesh.record.say(
                    f"{self.name} uses {used:.0f} MB of {self.memory_mb} MB and is killed"
                )
                process.kill()
                return
            await asyncio.sleep(0.02)

    async def lose(self):
        """Removes the machine permanently, without SIGTERM. DEPLOY.md: "Any machine may be removed permanently"."""
        self.is_kept_up = False
        self.process.kill()
        await self.process.wait()
        self.mesh.record.say(f"{self.name} is lost")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(b"GET /marigoldproxy/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head[0]
        except (OSError, TimeoutError):
            return False


class Mesh:
    """A small deployment."""

    def __init__(self, record, layout, memory_mb=260):
        """`layout` is a list of zone and service of each machine."""
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        number = os.getpid()
        self.prefix = f"127.{60 + number // 250 % 120}.{number % 250 + 1}"
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.command = role["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the build of the deploy file is missing")
        store_ip = f"{self.prefix}.2"
        self.store = Store(store_ip, free_port(store_ip))
        self.machines = [
            Machine(self, index, zone, service, memory_mb)
            for index, (zone, service) in enumerate(layout)
        ]

    async def start(self, config, machines=None):
        """Starts the store and the daemons, all or those of `machines`."""
        await self.store.start()
        await self.store.write("keyed.op", "config", json.dumps(config).encode())
        for machine in self.machines if machines is None else machines:
            machine.keeper = asyncio.ensure_future(machine.keep_up())

    async def wait_until_ready(self, machines=None, limit_s=15):
        for _ in range(limit_s * 10):
            ready = [await machine.is_ready() for machine in machines or self.machines]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    async def stop(self):
        for machine in self.machines:
            machine.is_kept_up = False
            if machine.process and machine.process.returncode is None:
                machine.signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
            if machine.keeper:
                machine.keeper.cancel()
        await self.store.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, limits=None):
    """A configuration of the operator. `routes` are rows of path prefix, kind, service, objective and time-out."""
    return {
        "version": f"{version:08x}",
        "routes": {
            f"r-{index}": {
                "host": "case.example",
                "path_prefix": prefix,
                "kind": kind,
                "timeout_s": timeout,
                "target_latency_s": objective,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for index, (prefix, kind, service, objective, timeout) in enumerate(routes)
        },
        "services": {
            name: {
                "health_check_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


def encode(document):
    return json.dumps(document).encode()


def request_id():
    return f"{random.getrandbits(64):016x}"


class Outcome:
    """What a client saw of a request."""

    def __init__(self, request):
        self.request, self.status, self.body, self.cause = request, None, None, ""
        self.fields = {}

    @property
    def is_whole(self):
        return self.status is not None and self.body is not None


def head_bytes(method, path, request, deadline_ms, length=None, key=None):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: case.example",
        f"Request-Id: {request}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Key: {key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Link:
    """The share that clients have of a machine's link. DEPLOY.md: links have a bandwidth."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 125_000
        self.free_at = 0.0

    async def pass_on(self, size):
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


async def ask(record, machine, method, path, body=None, deadline_ms=2000, link=None, key=None):
    """One client attempt on a new connection. A large body takes the time that `link` needs for it."""
    outcome = Outcome(request_id())
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.ports["outbound"], limit=1 << 20
            )
            length = None if body is None else len(body)
            record.sent_at[outcome.request] = record.now()
            writer.write(head_bytes(method, path, outcome.request, deadline_ms, length, key))
            record.write(f"sent {outcome.request} {method} {path} {length or 0} bytes to {machine.name}")
            for at in range(0, length or 0, LINK_PIECE_BYTES):
                piece = body[at : at + LINK_PIECE_BYTES]
                if link:
                    await link.pass_on(len(piece))
                writer.write(piece)
                await writer.drain()
            head = await read_head(reader)
            if head is None:
                outcome.cause = "closed without an answer"
            else:
                outcome.fields = head[1]
                outcome.status = int(head[0].split()[1])
                outcome.body = await read_body(reader, head[1])
    except TimeoutError:
        outcome.cause = "deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        outcome.cause = f"connection ended: {type(error).__name__}"
    finally:
        if writer:
            writer.close()
    record.write(f"answered {outcome.request} {outcome.status} {outcome.cause}".rstrip())
    return outcome


def main(case):
    """Runs `case`, which returns whether the rule held, and ends with the exit code that the reviewers agreed on."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))

    async def run():
        async with asyncio.timeout(115):
            return await case(record)

    try:
        held = asyncio.run(run())
    except (CannotRun, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
