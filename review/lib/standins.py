"""Stand-ins for the platform, engines and clients, as PROTOCOL.md describes them.

Everything runs on one asyncio loop and on loopback addresses. The nodes are separate
processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = ROOT / "target/src/node/primrosefork-node"
HELD, BROKEN, NOT_RUN = 0, 1, 2


GIVEN_PORTS = set()


def free_port():
    """Returns a port of 127.0.0.1 that is free for TCP and UDP, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Headers(dict):
    """Headers by lower-case name; of repeated ones the first counts."""


async def read_head(reader):
    """Returns the start line and the headers of the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """An HTTP/1.1 server that serves one request at a time on a connection."""

    def __init__(self):
        self.port = None
        self.server = None

    async def listen(self, port=0):
        self.port = port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError

    @staticmethod
    async def reply(writer, status, body=b"", more=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *more, "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        return True


def query_of(target):
    path, _, query = target.partition("?")
    values = {}
    for pair in query.split("&"):
        if pair:
            name, _, value = pair.partition("=")
            values[name] = bytes_of(value)
    return path, values


def bytes_of(text):
    from urllib.parse import unquote

    return unquote(text)


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.items = {}  # key -> dict
        self.history = []
        self.leases = {}  # id -> [ttl, end]
        self.next_lease = 1000
        self.changed = asyncio.Condition()

    async def listen(self, port=0):
        await super().listen(port)
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (_, end) in self.leases.items() if end <= now]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        await self.change([], [key for key, item in self.items.items() if item["lease"] == lease])

    async def change(self, puts, removed):
        """Applies a transaction and returns its revision."""
        self.revision += 1
        for put in puts:
            old = self.items.get(put["key"])
            item = {"key": put["key"], "value": put["value"], "revision": self.revision,
                    "created-rev": old["created-rev"] if old else self.revision, "lease": put.get("lease", 0)}
            self.items[put["key"]] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        return await self.change([{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}], [])

    async def remove(self, key):
        return await self.change([], [key])

    def leader(self):
        item = self.items.get("primrosefork/leader")
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(self, method, target, headers, body, writer):
        path, query = query_of(target)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return await self.reply(writer, 200 if item else 404, {**item, "current-rev": self.revision} if item else {})
        if path == "/kv-range":
            items = [self.items[key] for key in sorted(self.items) if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return await self.reply(writer, 200, {"items": items[:500], "more-pages": len(items) > 500, "current-rev": self.revision})
        if path == "/kv-watch":
            return await self.watch(query, writer)
        if path == "/kv-txn":
            return await self.txn(json.loads(body), writer)
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return await self.reply(writer, 200, {"lease": self.next_lease, "ttl-ms": ttl})
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return await self.reply(writer, 404, {})
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return await self.reply(writer, 200, {"ttl-ms": int(ttl * 1000)})
        await self.end_lease(lease)
        return await self.reply(writer, 200, {})

    async def watch(self, query, writer):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return await self.reply(writer, 200, {"events": events, "current-rev": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def txn(self, call, writer):
        rows = call.get("expect-rev", [])
        present = [self.items.get(row["key"]) for row in rows]
        if any((item["revision"] if item else 0) != row["revision"] for item, row in zip(present, rows)):
            return await self.reply(writer, 412, {"items": [item for item in present if item]})
        if any(put.get("lease") and put["lease"] not in self.leases for put in call.get("puts", [])):
            return await self.reply(writer, 404, {})
        return await self.reply(writer, 200, {"revision": await self.change(call.get("puts", []), call.get("remove", []))})


class Cloud(Server):
    """The platform's API for duties: takes every call."""

    async def handle(self, method, target, headers, body, writer):
        return await self.reply(writer, 200, {})


class Engine(Server):
    """A sound engine or application server; a case overrides run()."""

    def __init__(self, name, service, record, zone="a", model=False):
        super().__init__()
        self.id, self.service, self.record, self.zone, self.model = name, service, record, zone, model
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0

    def entry(self, state="ready", **more):
        self.seq += 1
        entry = {"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "capacity": 64,
                 "state": state, "cold-left-ms": 0, "seq": self.seq, "born": self.born}
        if self.model:
            entry.update({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]})
        return {**entry, **more}

    async def register(self, store, state="ready", **more):
        await store.put(f"servers/{self.id}", self.entry(state, **more))

    def answer_headers(self, headers):
        return [f"X-Attempt-Id: {headers.get('x-attempt-id', '')}", f"X-Response-Seal: {self.id}.{headers.get('x-attempt-id', '')}",
                f"X-Instance-Load: {self.running},0,64", "Keep-Alive: timeout=5"]

    async def handle(self, method, target, headers, body, writer):
        if headers.get("x-expect-instance", self.id) != self.id:
            return await self.reply(writer, 421, b"", [f"X-Instance-Id: {self.id}"])
        self.running += 1
        try:
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, body, writer):
        self.record(f"{self.id} runs {headers['x-attempt-id']}")
        return await self.reply(writer, 200, b"done " + headers["x-attempt-id"].encode(), self.answer_headers(headers))


def route(name, kind, service, **more):
    return {"name": name, "host": "api.example", "prefix": f"/{name}/", "route-type": kind, "timeout-ms": 6000, "slo-ms": 600, "priority": 1,
            "backend": service, "max-attempts": 1, "public": False, "can-resume": False, **more}


def configuration(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, **(limits or {})},
            "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 10000000, "burst": 10000000}]}


APP = {"name": "app", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False}
LLM = {"name": "llm", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": False,
       "engine": {"capacity": 64, "kv-tokens": 448444, "kv-bytes": 163840, "link-mbps": 550000.0, "moves": True, "backups": True, "stride": 3,
                  "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": [{"name": "m"}]}}


class Node:
    """One process of the system, with settings as platform/settings.json makes them."""

    def __init__(self, name, folder, store, cloud):
        self.name = name
        self.folder = folder
        self.ports = {use: free_port() for use in ("callers", "readiness", "peers", "operators")}
        listen = {use: f"127.0.0.1:{port}" for use, port in self.ports.items()}
        self.settings = {
            "interface": "gateway",
            "node": {"id": name, "zone": "a", "region": "r", "processor_share": 0.25},
            "listen": listen,
            "systems": {"fleet_api": cloud.address, "key_value_service": store.address},
            "bounds": {"drain": "2000ms", "stop_grace": "8s", "configuration": "2000ms", "revocation": "5000ms", "leadership": "3000ms",
                       "usage_window": "5s", "usage_due": "10s", "attempt_window": "10s", "attempt_ratio": 0.2, "quota_window": "8s",
                       "quota_excess": 0.1, "quota_slack": 110000, "heartbeat": "1200ms", "attempt_slack": 58},
            "log_level": "info"}
        self.process = None

    async def start(self):
        path = pathlib.Path(self.folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(str(NODE), "--settings", str(path), cwd=str(ROOT), stdout=log, stderr=log,
                                                            env={**environment, "PRIMROSEFORK_SETTINGS": str(path)})

    def memory(self, field="VmRSS"):
        """Returns the process's memory in bytes as its status file states it."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


def make_request(prefix, request_id, body=b"", deadline=6000, method="POST", more=()):
    lines = [f"{method} /{prefix}/x HTTP/1.1", "Host: api.example", f"X-Attempt-Id: {request_id}", f"X-Deadline-Ms: {deadline}",
             "Authorization: Token key-1", f"Content-Length: {len(body)}", *more, "", ""]
    return "\r\n".join(lines).encode() + body


async def read_answer(reader, method="POST"):
    """Returns status, headers, body and whether the answer is complete."""
    head = await read_head(reader)
    if head is None:
        return 0, Headers(), b"", False
    line, headers = head
    status = int(line.split(" ")[1])
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return status, headers, body, True
                body += piece
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0))), True
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, headers, body, False


class World:
    """A small deployment: store, platform API, engines and nodes."""

    node_class = Node

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.cloud = Store(), Cloud()
        self.nodes, self.engines = [], []

    async def begin(self, config, engines, node_count):
        await self.store.listen()
        await self.cloud.listen()
        await self.store.put("op/config", config)
        for engine in engines:
            await engine.listen()
            await engine.register(self.store)
        self.engines = engines
        self.nodes = [self.node_class(f"node-{number + 1}", self.folder, self.store, self.cloud) for number in range(node_count)]
        for node in self.nodes:
            await node.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes]) and self.store.leader():
                await asyncio.sleep(2)  # The leader counts the nodes.
                return True
            await asyncio.sleep(0.2)
        return False

    async def end(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, play):
    """Runs play(world, trouble) and exits with its verdict."""

    async def main():
        world = World(case_folder)
        trouble = os.environ.get("TROUBLE", "1")
        try:
            verdict = await asyncio.wait_for(play(world, trouble), 110)
        except Exception as error:  # Whatever stops the case, it didn't run.
            world.record(f"the case could not run: {error!r}")
            verdict = NOT_RUN
        finally:
            await world.end()
        world.record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[verdict])
        return verdict

    if not NODE.exists():
        sys.exit(NOT_RUN)
    verdict = asyncio.run(main())
    sys.stdout.flush()
    os._exit(verdict)
