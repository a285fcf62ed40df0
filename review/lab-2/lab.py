"""Stand-ins for the scripts of this review: the platform's store, servers, clients and proxies, and real nodes.

The spelling of messages follows `deploy/wire.toml`, the commands of the nodes follow `deploy/system.toml`. All sockets
are bound to loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ATTEMPT_LOST = (OSError, asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError, EOFError)


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Text file with what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def at(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.at():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or none at the end of the stream."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").strip(), headers
        if not line:
            raise EOFError("the head is incomplete")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body):
    head = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items, leases, watches and transactions. Its answers are linearizable."""

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=8 << 20)
        self.addr = self.server.sockets[0].getsockname()[:2]
        self.expiring = asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        created = before["created_revision"] if before else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created_revision": created, "lease": lease}
        self.items[key] = item
        self.tell(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.tell({"key": key, "revision": self.revision, "deleted": True})

    def tell(self, event):
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, config):
        self.put("op/config", base64.b64encode(json.dumps(config).encode()).decode())
        self.record.line(f"operator writes version {config['version']}")

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (ends, _) in list(self.leases.items()):
                if now >= ends:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.record.line(f"store removes {key} with its lease")
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(self.answer_s)
                status, answer = await self.answer(method, url.path, query, json.loads(body) if body else {})
                data = json.dumps(answer).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except ATTEMPT_LOST:
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at_revision": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("path_prefix", "")) and k > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at_revision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl_ms = min(max(float(body["ttl_ms"]), 1000), 600_000)
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl_ms": int(ttl_ms)}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": int(ttl_ms)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        until = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            found = [event for revision, event in self.events if revision > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expected", [])
        revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(put.get("lease", 0) not in self.leases for put in body.get("put", []) if put.get("lease", 0)):
            return 404, {}
        for key in body.get("remove", []):
            self.remove(key)
        for put in body.get("put", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        return 200, {"revision": self.revision}


class Server:
    """An application server beside a node: heartbeats, health, load, stamp, slots and a short queue."""

    def __init__(self, record, name, service, ip, zone, control, slots=12, work_s=0.03):
        self.record, self.name, self.service, self.ip, self.zone = record, name, service, ip, zone
        self.control, self.slots, self.work_s = control, slots, work_s
        self.port = free_port(ip)
        self.starts = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.runs = []
        self.arrivals = []
        self.handler = None
        self.listener = None
        self.writers = set()
        self.beats = asyncio.create_task(self.announce())

    async def start(self):
        self.starts += 1
        self.sequence = 0
        self.id = f"i-{self.name}-{self.starts}"
        self.running = self.waiting = 0
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, limit=8 << 20, backlog=512)
        self.record.line(f"server {self.id} starts")

    def crash(self):
        """Ends like a killed process: the port closes and all connections break."""
        self.record.line(f"server {self.id} crashes")
        self.listener.close()
        self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def is_up(self):
        return self.listener is not None

    async def announce(self):
        while True:
            if self.is_up:
                self.sequence += 1
                beat = {
                    "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": "ready", "cold_ms": 0, "sequence": self.sequence,
                }
                try:
                    path = f"/api/instances/{self.id}/heartbeat"
                    await asyncio.wait_for(call(self.control, "POST", path, [], json.dumps(beat).encode()), 1)
                except (asyncio.TimeoutError, *ATTEMPT_LOST):
                    pass
            await asyncio.sleep(0.5 if self.starts and self.sequence < 3 else 1.5)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        life = self.starts
        try:
            while head := await read_head(reader):
                first, headers = head
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers)
                if path == "/health":
                    writer.write(answer_bytes(200, [("X-Instance-Id", self.id), ("X-Server-Load", self.load())], b"ok"))
                    await writer.drain()
                    continue
                request_id = headers.get("x-request-id", "")
                self.arrivals.append((time.monotonic(), request_id, path, headers))
                expected = headers.get("x-expected-instance")
                if expected not in (None, self.id):
                    writer.write(answer_bytes(421, [("X-Request-Id", request_id), ("X-Instance-Id", self.id), ("X-Not-Executed", "1")], b""))
                elif self.running >= self.slots and self.waiting >= self.slots:
                    writer.write(answer_bytes(503, [("X-Request-Id", request_id), ("X-Not-Executed", "1"), ("X-Server-Load", self.load())], b""))
                else:
                    await self.run(request_id, method, path, headers, body, writer, life)
                await writer.drain()
        except ATTEMPT_LOST:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, request_id, method, path, headers, body, writer, life):
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
        self.waiting -= 1
        self.running += 1
        self.runs.append((time.monotonic(), request_id, path, headers))
        self.record.line(f"server {self.id} runs {request_id} {method} {path}")
        try:
            if self.handler and await self.handler(self, request_id, path, headers, writer):
                return
            await asyncio.sleep(self.work_s)
            data = f"answer to {request_id}".encode()
            stamp = [("X-Request-Id", request_id), ("X-Server-Stamp", self.id), ("X-Server-Load", self.load())]
            writer.write(answer_bytes(200, stamp, data))
        finally:
            if life == self.starts:
                self.running -= 1
                async with self.free:
                    self.free.notify()


async def call(addr, method, path, headers, body=b""):
    """Sends one request over a new connection; returns the status, the headers and the body of the answer."""
    reader, writer = await asyncio.open_connection(*addr, limit=8 << 20)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {addr[0]}:{addr[1]}")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise EOFError("no answer")
        first, answered = head
        status = int(first.split(" ")[1])
        return status, answered, await read_body(reader, answered)
    finally:
        writer.transport.abort()


class UdpPaths(asyncio.DatagramProtocol):
    """Proxy for the datagrams to one node, which drops those between nodes that are cut off from each other."""

    def __init__(self, lab, to):
        self.lab, self.to, self.by_source = lab, to, {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        if self.lab.is_cut(source[0], self.to.ip):
            return
        back = self.by_source.get(source)
        if back is None:
            back = self.by_source[source] = UdpBack(self, source)
            back.start()
        back.send(data)


class UdpBack(asyncio.DatagramProtocol):
    """Socket of a proxy for one source, towards the node."""

    def __init__(self, front, source):
        self.front, self.source = front, source

    def start(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.connect((self.front.to.ip, self.front.to.link_port))
        asyncio.get_running_loop().add_reader(self.sock, self.receive)

    def send(self, data):
        try:
            self.sock.send(data)
        except OSError:
            pass

    def receive(self):
        try:
            while True:
                data = self.sock.recv(65536)
                if not self.front.lab.is_cut(self.front.to.ip, self.source[0]):
                    self.front.transport.sendto(data, self.source)
        except OSError:
            pass


class StorePath:
    """Proxy between one node and the store, which lets no bytes pass while the node is cut off."""

    def __init__(self, lab, ip):
        self.lab, self.ip = lab, ip

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, 0, limit=8 << 20)
        self.addr = server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        while self.lab.is_cut(self.ip, "store"):
            await asyncio.sleep(0.05)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.lab.store.addr, limit=8 << 20)
        except OSError:
            return writer.close()
        # A store that is down takes no calls, and a connection on which it has missed one stays silent.
        silent = asyncio.Event()
        await asyncio.gather(self.pass_on(reader, store_writer, silent), self.pass_on(store_reader, writer, silent))

    async def pass_on(self, reader, writer, silent):
        try:
            while data := await reader.read(65536):
                if self.lab.store_is_silent:
                    silent.set()
                while self.lab.is_cut(self.ip, "store"):
                    await asyncio.sleep(0.05)
                if not silent.is_set():
                    writer.write(data)
                    await writer.drain()
        except ATTEMPT_LOST:
            pass
        finally:
            writer.close()


def named(settings, name):
    value = settings
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part, "")
    return str(value)


def fill(template, settings):
    return re.sub(r"{{([a-z_.0-9]+)}}", lambda gap: named(settings, gap.group(1)), template)


class Node:
    """A real node process, started by the commands of the deploy file, and its server."""

    def __init__(self, lab, at, service, zone, **server):
        self.lab, self.at, self.service, self.zone = lab, at, service, zone
        self.name = f"sidecar-{zone}-{at}"
        self.ip = f"127.77.{random.randrange(1, 250)}.{at}"
        self.caller = (self.ip, free_port(self.ip))
        self.readiness = (self.ip, free_port(self.ip))
        self.control = (self.ip, free_port(self.ip))
        self.link_port = free_port(self.ip, socket.SOCK_DGRAM)
        self.server = Server(lab.record, f"{at}", service, self.ip, zone, self.control, **server)
        self.process = None
        self.ends = 0
        self.peak_kb = 0

    async def prepare(self):
        self.store_path = StorePath(self.lab, self.ip)
        await self.store_path.start()
        if self.lab.with_paths:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(lambda: UdpPaths(self.lab, self), (self.ip, 0))
            self.advertised = transport.get_extra_info("sockname")
        await self.server.start()

    async def start(self):
        bounds = {**self.lab.bounds, "cold_overage": "", "cold_slack": ""}
        settings = {
            "vm": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
            "upstream_addr": f"{self.ip}:{self.server.port}", "link_ports": [self.link_port],
            "listen": {key: "%s:%d" % addr for key, addr in
                       [("outbound", self.caller), ("readiness", self.readiness), ("control", self.control)]},
            "store": {"address": "%s:%d" % self.store_path.addr}, "bounds": bounds,
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        words = [fill(word, settings) for word in role["run"].split(" ")]
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["VALETRACK_REGIONS"] = ",".join(f"{zone}=one" for zone in self.lab.zones)
        if self.lab.with_paths:
            env["VALETRACK_LINK_ADVERTISE"] = "%s:%d" % self.advertised
        self.log = open(os.path.join(self.lab.dir, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.lab.record.line(f"node {self.name} starts")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def memory_kb(self):
        """Returns the resident memory of the process that belongs to it alone."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                found = re.search(r"RssAnon:\s+(\d+)", file.read())
        except OSError:
            return 0
        kb = int(found.group(1)) if found else 0
        self.peak_kb = max(self.peak_kb, kb)
        return kb

    async def is_ready(self):
        try:
            return (await asyncio.wait_for(call(self.readiness, "GET", "/api/readiness", []), 1))[0] == 200
        except (asyncio.TimeoutError, *ATTEMPT_LOST):
            return False


class Lab:
    """A small deployment: the store, nodes and servers."""

    def __init__(self, folder, bounds, with_paths=False):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="valetrack-review-")
        self.bounds, self.with_paths = bounds, with_paths
        self.nodes, self.zones = [], []
        self.cut = set()
        self.store_is_silent = False
        self.store = Store(self.record)
        self.number = 0

    def is_cut(self, one, other):
        """Returns whether a cut separates two of them; nodes that are cut off reach nobody."""
        return one in self.cut or other in self.cut

    async def start(self, nodes, config):
        if not os.path.exists(os.path.join(ROOT, "target", "release", "valetrack")):
            raise CannotRun("target/release/valetrack is missing")
        await self.store.start()
        self.store.put_config(config)
        for at, (service, zone, server) in enumerate(nodes, 1):
            self.zones = sorted({*self.zones, zone})
            self.nodes.append(Node(self, at, service, zone, **server))
        for node in self.nodes:
            await node.prepare()
        await asyncio.gather(*(node.start() for node in self.nodes))
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes are not ready")

    def next_id(self):
        self.number += 1
        return f"r-{self.number:05}"

    async def request(self, node, method, path, host, deadline_ms, headers=(), body=b"", give_up_s=None):
        """Sends one request of a client at a node; returns its id, the status (0 without an answer) and the body."""
        request_id = self.next_id()
        head = [("Host", host), ("X-Request-Id", request_id), ("X-Deadline-Milliseconds", str(deadline_ms)), *headers]
        sent = self.record.at()
        try:
            limit = give_up_s if give_up_s is not None else deadline_ms / 1000 + 0.5
            status, answered, data = await asyncio.wait_for(call(node.caller, method, path, head, body), limit)
        except asyncio.TimeoutError:
            status, answered, data = 0, {}, b"client left"
        except ATTEMPT_LOST as error:
            status, answered, data = 0, {}, repr(error).encode()
        by = answered.get("x-server-stamp", "-")
        self.record.line(f"{request_id} {method} {path} sent at {sent:.3f} to {node.name} gets {status} by {by}")
        return request_id, status, data

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def run(folder, main, bounds, with_paths=False, limit_s=108):
    """Runs a case; exits with 10 if the rule was broken, 0 if it held and 2 if the case could not run."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))

    async def whole():
        lab = Lab(folder, bounds, with_paths)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return 10 if await asyncio.wait_for(main(lab), limit_s) else 0
        except (Exception, asyncio.CancelledError) as error:
            lab.record.say(f"could not run: {error!r}")
            return 2
        finally:
            await lab.stop()

    raise SystemExit(asyncio.run(whole()))
