"""Stand-ins of the platform's store, of application servers and of clients, and nodes as real processes.

Everything listens on loopback. The store, the servers and the clients share one asyncio loop; each node is a process
of its own, started with the `run` line of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "farm.example"
# Settings of the site that the cases name.
BOUNDS = {
    "config_apply_ms": 2000,
    "grace_s": 6,
    "retry_ratio": 0.2,
    "retry_reserve": 58,
    "budget_window_s": 10,
}
HISTORY_S = 20.0
VALUE_BYTES = 1048576
PAGE_ITEMS = 500
PAGE_BYTES = 1048576
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
PORTS = set()


class Record:
    """Log of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port():
    """Returns a port that is free for TCP and UDP, below the range from which the system takes those of clients."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        if port in PORTS:
            continue
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        PORTS.add(port)
        return port


async def read_head(reader):
    """Returns the first line, the headers in lower case and nothing else; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    return b""


def answer_bytes(status, headers, body):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
              403: "Forbidden", 503: "Service Unavailable", 504: "Gateway Timeout"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The metadata store: items, leases, watches, and a history that ends after `HISTORY_S`."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.server = None
        self.addr = None
        self.largest_watch = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.expire())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision, "lease": lease,
                "created_revision": old["created_revision"] if old else self.revision}
        self.items[key] = item
        self.remember(item)
        return self.revision

    def remember(self, event):
        """Adds a change to the history, encoded once, and wakes the watches."""
        self.history.append((time.monotonic(), event["revision"], event["key"], json.dumps(event)))
        self.notify()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.remember({"key": key, "revision": self.revision, "deleted": True})

    def write(self, key, text):
        """Writes an item as the operator does; the return is the acknowledgement."""
        assert len(text) <= VALUE_BYTES, len(text)
        return self.put(key, base64.b64encode(text.encode()).decode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
                self.end_lease(lease)
            while self.history and now - self.history[0][0] > HISTORY_S:
                self.forgotten = self.history.pop(0)[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(part.partition("=")[::2] for part in query.split("&") if part)
                await asyncio.sleep(STORE_ANSWER_S)
                if path == "/api/kv-watch":
                    status, data = await self.watch(query)
                    self.largest_watch = max(self.largest_watch, len(data))
                else:
                    status, reply = self.call(method, path, query, json.loads(body) if body else {})
                    data = json.dumps(reply).encode()
                writer.write(answer_bytes(status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return 410, b"{}"
            events = [event for _, revision, key, event in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, f'{{"events":[{",".join(events)}],"at_revision":{self.revision}}}'.encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def call(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at_revision=self.revision)) if item else (404, {})
        if path == "/api/kv-range":
            return 200, self.page(query.get("path_prefix", ""), query.get("after", ""))
        if path == "/api/kv-txn":
            return self.transact(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = min(max(body["ttl_ms"], 1000), 600000)
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def page(self, prefix, after):
        items, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            value = len(self.items[key]["value"]) * 3 // 4
            if items and (len(items) == PAGE_ITEMS or size + value > PAGE_BYTES):
                more = True
                break
            items.append(self.items[key])
            size += value
        return {"items": items, "has_more": more, "at_revision": self.revision}

    def transact(self, body):
        expected, puts, removes = body.get("expected", []), body.get("put", []), body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [row["key"] for row in puts] + removes):
            return 403, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, {}
        for row in puts:
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in removes:
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """An application server: slots with a short queue, a health path, and heartbeats to the node beside it."""

    def __init__(self, record, service, ident, zone, control, work_s, slots=6, queue=12):
        self.record, self.service, self.id, self.zone, self.control = record, service, ident, zone, control
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = {}
        self.state, self.sequence, self.beating = "ready", 0, True
        self.leaving = False
        self.acknowledged = None
        self.port = None
        self.server = None
        self.stamps = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.beat())

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                status, reply, text = await self.answer(line, headers, body)
                writer.write(answer_bytes(status, reply, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        method, path, _ = line.split(" ")
        if path == "/health":
            return (503 if self.leaving else 200), {"X-Instance-Id": self.id, "X-Server-Load": self.load()}, b""
        ident = headers.get("x-request-id", "")
        reply = {"X-Request-Id": ident, "X-Server-Load": self.load()}
        if self.leaving:
            reply["Connection"] = "close"
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, dict(reply, **{"X-Instance-Id": self.id}), b""
        if self.running >= self.slots and self.waiting >= self.queue:
            return 503, dict(reply, **{"X-Not-Executed": "1"}), b""
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.setdefault(ident, []).append(self.record.now())
            self.record.line(f"run       id={ident} server={self.id} service={self.service} {method} {path} "
                             f"caller={headers.get('x-caller-service', '')} left_ms={headers.get('x-deadline-milliseconds', '')}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            self.record.line(f"run ended id={ident} server={self.id}")
        self.stamps += 1
        return 200, dict(reply, **{"X-Server-Stamp": f"{self.id}.{self.stamps}"}), b"done " + ident.encode()

    async def tell(self, path, message, delay_s=0.0):
        """Sends one call to the node's control address; returns whether it was acknowledged."""
        data = json.dumps(message).encode()
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.control), 1)
            try:
                writer.write(f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                line, _ = await asyncio.wait_for(read_head(reader), 1)
                return line.split(" ")[1].startswith("2")
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, TypeError):
            return False

    def heartbeat(self, state=None):
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state or self.state, "cold_ms": 0, "sequence": self.sequence}

    async def beat(self):
        while True:
            if self.beating:
                await self.tell(f"/api/instances/{self.id}/heartbeat", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)


class Machine:
    """One machine: a server and the node beside it."""

    def __init__(self, fleet, name, zone, service, ident, work_s):
        self.fleet, self.name, self.zone, self.service = fleet, name, zone, service
        self.outbound, self.readiness, self.control = free_port(), free_port(), free_port()
        self.link = free_port()
        self.server = Server(fleet.record, service, ident, zone, self.control, work_s)
        self.process = None

    def start_node(self):
        fill = {
            "vm": self.name, "zone": self.zone, "service": self.service,
            "upstream_addr": f"127.0.0.1:{self.server.port}",
            "listen.outbound": f"127.0.0.1:{self.outbound}", "listen.readiness": f"127.0.0.1:{self.readiness}",
            "listen.control": f"127.0.0.1:{self.control}", "ip": "127.0.0.1", "link_ports.0": str(self.link),
            "store.address": self.fleet.store.addr,
        }
        fill.update({f"bounds.{name}": str(value) for name, value in BOUNDS.items()})
        with open(ROOT / "deploy/system.toml", "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["node"]
        words = [re.sub(r"\{\{([^}]*)\}\}", lambda gap: fill[gap[1]], word) for word in role["run"].split(" ")]
        zones = ",".join(f"{zone}=region" for zone in self.fleet.zones)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env.update(VALETRACK_COLD_OVERAGE="", VALETRACK_COLD_SLACK="", VALETRACK_REGIONS=zones)
        log = open(self.fleet.dir / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def kill(self):
        self.fleet.record.line(f"kill      node={self.name} pid={self.process.pid}")
        self.process.kill()
        self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """Machines of some services over three zones, and their store."""

    zones = ["kranj", "skofja", "radovljica"]

    def __init__(self, record):
        self.record = record
        self.dir = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.machines = []

    async def start(self, services, config, work_s=0.05):
        """Starts a machine for each service named, with the operator's first configuration in the store."""
        await self.store.start()
        self.store.write("op/config", config)
        for number, service in enumerate(services):
            zone = self.zones[number % len(self.zones)]
            machine = Machine(self, f"sidecar-{zone}-{number}", zone, service, f"i-{number:02d}", work_s)
            await machine.server.start()
            self.machines.append(machine)
        for machine in self.machines:
            machine.start_node()
        await self.until(self.all_ready, 20)
        # One exchange of entries between all nodes.
        await asyncio.sleep(4)

    async def all_ready(self):
        return all([await machine.ready() for machine in self.machines])

    async def until(self, condition, limit_s):
        end = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun("the fleet did not become ready")
            await asyncio.sleep(0.1)

    def runs(self, ident):
        return [(machine.server.id, at) for machine in self.machines for at in machine.server.runs.get(ident, [])]

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class CannotRun(Exception):
    pass


async def request(fleet, machine, method, path, ident, deadline_ms, body=b""):
    """Sends one request over a new connection; returns status, headers and body, or the reason of its end."""
    record = fleet.record
    record.line(f"sent      id={ident} to={machine.name} {method} {path} deadline_ms={deadline_ms}")
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", machine.outbound)
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ident}\r\n"
                     f"X-Deadline-Milliseconds: {deadline_ms}\r\n{length}\r\n".encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
        if head is None:
            record.line(f"answered  id={ident} closed")
            return 0, {}, b""
        line, headers = head
        status = int(line.split(" ")[1])
        text = await asyncio.wait_for(read_body(reader, headers), 1)
        record.line(f"answered  id={ident} status={status} stamp={headers.get('x-server-stamp', '-')} "
                    f"retry_after={headers.get('retry-after', '-')} body={text[:60]!r}")
        return status, headers, text
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.line(f"answered  id={ident} none ({error!r})")
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def route(name, prefix, repeat, service, timeout_ms=1200, objective_ms=500, priority=1):
    return {"name": name, "host": HOST, "path_prefix": prefix, "repeat": repeat, "timeout_ms": timeout_ms,
            "objective_ms": objective_ms, "priority": priority, "attempts_max": 2, "service": service}


def config(version, routes, services):
    rows = [{"name": name, "health_path": "/health", "connections_max": 220, "protocol": "h1", "tls": False}
            for name in services]
    limits = {"head_max_bytes": 16384, "body_max_bytes": 67108864, "head_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return json.dumps({"version": version, "routes": routes, "services": rows, "limits": limits})


def main(case, folder, record_name="record.txt"):
    """Runs a case to its end, whatever happens; exits with 1 if the rule was broken, 0 if it held, else 2."""
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    record = Record(Path(folder) / record_name)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    code = 2
    try:
        if not (ROOT / "target/release/valetrack").exists():
            raise CannotRun("target/release/valetrack is missing: run the build of the deploy file")

        async def bounded():
            nonlocal fleet
            fleet = Fleet(record)
            return await asyncio.wait_for(case(fleet, trouble), 110)

        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        broken = asyncio.run(bounded())
        for text in broken:
            record.line(f"BROKEN    {text}")
        record.line(f"result    {'broken' if broken else 'held'} (trouble={int(trouble)})")
        print(f"{'broken' if broken else 'held'}: {len(broken)} finding(s)")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError, KeyboardInterrupt) as error:
        record.line(f"result    could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        if fleet:
            fleet.stop()
    record.file.close()
    sys.stdout.flush()
    # Connections of the stand-ins are still open, and nothing else is left to do.
    os._exit(code)
