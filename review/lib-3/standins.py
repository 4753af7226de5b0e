"""Stand-ins for the platform, back ends and clients, and the start of nodes, for the scripts of this review.

Everything runs in one asyncio loop; only the nodes are processes of their own. All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Head:
    """The first line and the headers of a message."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None when the connection ends before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return Head(lines[0], headers)


def free_ports(count):
    """Returns ports that are free at the moment, for TCP and UDP."""
    ports = []
    held = []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            pass
        held += [tcp, udp]
    for one in held:
        one.close()
    return ports


class Record:
    """Writes what happened, with the time since the start, to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def write(self, *words):
        line = "%8.3f %s" % (time.time() - self.start, " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store (PROTOCOL.md), with a port for each node, which can be cut off from it."""

    def __init__(self, record, era=1):
        self.record = record
        self.items = {}  # key: (value, revision, created, lease)
        self.revision = 100
        self.history = []  # (revision, key, deleted)
        self.oldest = 100
        self.leases = {}  # id: [ttl, end]
        self.next_lease = 7000
        self.era = era
        self.away = False
        self.cut = {}  # port: Event that is set while the port is connected
        self.busy = set()  # ports whose calls get 503
        self.changed = asyncio.Event()
        self.generation = 0
        self.servers = []
        self.writers = set()

    async def listen(self, ports):
        for port in ports:
            self.cut[port] = asyncio.Event()
            self.cut[port].set()
            server = await asyncio.start_server(lambda r, w, p=port: self.serve(p, r, w), "127.0.0.1", port)
            self.servers.append(server)
        asyncio.ensure_future(self.expire())

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, False))
        self.notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, True))
            self.notify()

    def value(self, key):
        item = self.items.get(key)
        return item[0].decode("utf-8", "replace") if item else None

    def backup(self):
        return (dict(self.items), self.revision, {k: list(v) for k, v in self.leases.items()}, time.monotonic())

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and revisions are given out again. Leases of the copy go on with the time that they had."""
        items, revision, leases, taken = copy
        self.items = dict(items)
        self.revision = revision
        self.history = []
        self.oldest = revision
        now = time.monotonic()
        self.leases = {k: [ttl, now + max(0.2, end - taken)] for k, (ttl, end) in leases.items()}
        self.next_lease += 1000
        self.era += 1
        self.generation += 1
        self.close_all()
        self.notify()

    def close_all(self):
        for writer in list(self.writers):
            writer.close()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.away:
                continue
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self.record.write("store removes", key, "as its lease ended")
            self.remove(key)

    async def serve(self, port, reader, writer):
        self.writers.add(writer)
        generation = self.generation
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                body = await reader.readexactly(int(head.get("content-length", "0")))
                if not self.cut[port].is_set():
                    # Behind a partition: nothing is answered, and what the sender gave up meanwhile is lost.
                    await self.cut[port].wait()
                    return
                if generation != self.generation:
                    return
                status, answer = await self.answer(port, head, body)
                if generation != self.generation:
                    return
                if not self.cut[port].is_set():
                    await self.cut[port].wait()
                    return
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n" % (status, self.era, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def shown(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created-rev": created, "lease": lease}

    async def answer(self, port, head, body):
        method, target, _ = head.line.split(" ", 2)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if self.away or port in self.busy:
            return 503, {}
        await asyncio.sleep(0.004)
        if self.away or port in self.busy:
            return 503, {}
        call = (method, parts.path)
        if call == ("GET", "/kv-key"):
            if query.get("key") not in self.items:
                return 404, {"current-rev": self.revision}
            return 200, dict(self.shown(query["key"]), **{"current-rev": self.revision})
        if call == ("GET", "/kv-range"):
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return 200, {"items": [self.shown(k) for k in keys[:500]], "more-pages": len(keys) > 500, "current-rev": self.revision}
        if call == ("GET", "/kv-watch"):
            return await self.watch(query.get("prefix", ""), int(query.get("after", "0")), int(query.get("wait-ms", "0")))
        if call == ("POST", "/kv-txn"):
            return self.transact(port, json.loads(body))
        if call == ("POST", "/kv-lease"):
            ttl = json.loads(body)["ttl-ms"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease, "ttl-ms": int(ttl * 1000)}
        lease = int(parts.path.rsplit("/", 1)[1]) if parts.path.rsplit("/", 1)[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if method == "POST":
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttl-ms": int(self.leases[lease][0] * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait / 1000
        generation = self.generation
        while True:
            if after < self.oldest and after != self.oldest or after > self.revision:
                return 410, {}
            last = {}
            for revision, key, deleted in self.history:
                if revision > after and key.startswith(prefix):
                    last[revision] = (key, deleted)
            events = []
            for revision, (key, deleted) in sorted(last.items()):
                if deleted:
                    events.append({"key": key, "revision": revision, "tombstone": True})
                elif key in self.items and self.items[key][1] == revision:
                    events.append(self.shown(key))
            left = end - time.monotonic()
            if events or left <= 0 or self.away or generation != self.generation:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, port, call):
        current = []
        for row in call.get("expect-rev", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                current.append(row["key"])
        if current:
            return 412, {"items": [self.shown(r["key"]) if r["key"] in self.items else {"key": r["key"], "revision": 0, "value": ""} for r in call["expect-rev"]]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in call.get("puts", [])):
            return 404, {}
        keys = [put["key"] for put in call.get("puts", [])] + list(call.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in call.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            self.record.write("store: node at port", port, "writes", put["key"], "revision", self.revision, base64.b64decode(put["value"]).decode("utf-8", "replace")[:300])
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Cloud:
    """The platform's API for duties (PROTOCOL.md): POST /usage and POST /scale with fences."""

    def __init__(self, record):
        self.record = record
        self.highest = {}
        self.accepted = []  # (time, path, holder, fence, body)

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                body = json.loads(await reader.readexactly(int(head.get("content-length", "0"))))
                path = head.line.split(" ")[1]
                subject = path if path == "/usage" else "%s/%s/%s" % (path, body.get("backend"), body.get("zone"))
                fence = int(head.get("x-fence-token"))
                status = 200 if fence >= self.highest.get(subject, 0) else 409
                if status == 200:
                    self.highest[subject] = fence
                    self.accepted.append((time.time(), path, head.get("x-duty-holder"), fence, body))
                self.record.write("platform: POST", path, "by", head.get("x-duty-holder"), "fence", fence, json.dumps(body, sort_keys=True), "->", status)
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}" % status)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def usage(self):
        """Returns by window the different counts that were accepted, with the holder and the fence of each."""
        windows = {}
        for _, path, holder, fence, body in self.accepted:
            if path == "/usage":
                windows.setdefault(body["window-id"], {}).setdefault(json.dumps(body["counts"], sort_keys=True), []).append((holder, fence))
        return windows


class PlainServer:
    """A sound back end that is no model engine: runs a request for work(head) seconds and answers it with its mark."""

    def __init__(self, record, server_id, work, body=b"done"):
        self.record = record
        self.id = server_id
        self.work = work
        self.body = body
        self.runs = []  # (time, request id, tenant)
        self.answers = {}  # request id: time of the whole answer

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def entry(self, service, zone):
        return json.dumps({"backend": service, "address": "127.0.0.1:%d" % self.port, "zone": zone, "version": "v1", "capacity": 6, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1700000000000}).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                if head.get("transfer-encoding"):
                    raise ConnectionError("chunked requests are not expected")
                await reader.readexactly(int(head.get("content-length", "0")))
                request = head.get("x-attempt-id", "")
                if head.get("x-expect-instance") not in (None, self.id):
                    writer.write(b"HTTP/1.1 421 x\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                    continue
                self.runs.append((time.time(), request, head.get("x-tenant")))
                self.record.write("server", self.id, "begins", request)
                await asyncio.sleep(self.work(head))
                writer.write(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\nX-Instance-Load: 1,0,6\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n" % (request.encode(), request.encode(), len(self.body)) + self.body)
                await writer.drain()
                self.answers[request] = time.time()
                self.record.write("server", self.id, "has answered", request)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Engine:
    """A model engine that answers with a stream of events, in chunks, and goes on after Last-Event-Id.

    spoil(request id, whole answer so far) may be set; it returns the header lines to add and a function that encodes each event.
    """

    def __init__(self, record, server_id, events, pause, spoil=None):
        self.record = record
        self.id = server_id
        self.events = events
        self.pause = pause
        self.spoil = spoil
        self.runs = []  # (time, request id, number of the first event)

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def entry(self, service, zone):
        return json.dumps({"backend": service, "address": "127.0.0.1:%d" % self.port, "zone": zone, "version": "v1", "capacity": 64, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1700000000000,
                           "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}).encode()

    @staticmethod
    def event(request, number):
        return ("id: %d\ndata: %s piece %d\n\n" % (number, request, number)).encode()

    def whole(self, request):
        return b"".join(self.event(request, number) for number in range(1, self.events + 1))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    return
                await reader.readexactly(int(head.get("content-length", "0")))
                request = head.get("x-attempt-id", "")
                if head.get("x-expect-instance") not in (None, self.id):
                    writer.write(b"HTTP/1.1 421 x\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                    continue
                after = int(head.get("last-event-id", "0"))
                self.runs.append((time.time(), request, after + 1))
                more, encode, end = self.spoil(request) if self.spoil else ("", lambda text: text, b"")
                self.record.write("engine", self.id, "runs", request, "from event", after + 1, more.strip())
                await asyncio.sleep(self.pause)
                writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\nX-Weight-Versions: 1\r\nX-Instance-Load: 1,0,64\r\nKeep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n"
                              % (request, self.id, request, more)).encode())
                for number in range(after + 1, self.events + 1):
                    self.chunk(writer, encode(self.event(request, number)))
                    await writer.drain()
                    await asyncio.sleep(self.pause)
                self.chunk(writer, end)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    def chunk(writer, text):
        if text:
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")


def configuration(version, routes, services, tenants, limits=None):
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, "tenants": tenants}).encode()


class Node:
    """One node, started with the command of the deploy file."""

    def __init__(self, name, zone, store_port, cloud_port, ports, folder, bounds=None, memory="260MiB"):
        self.name = name
        self.front, self.ready, self.peers, self.operators = ports
        self.store_port = store_port
        self.folder = folder
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        text = {
            "interface": "gateway",
            "node": {"id": name, "zone": zone, "region": "r", "processor_share": 0.25, "memory": memory},
            "listen": {"callers": "127.0.0.1:%d" % self.front, "readiness": "127.0.0.1:%d" % self.ready, "peers": "127.0.0.1:%d" % self.peers, "operators": "127.0.0.1:%d" % self.operators},
            "systems": {"fleet_api": "127.0.0.1:%d" % cloud_port, "key_value_service": "127.0.0.1:%d" % store_port},
            "bounds": dict({"drain": "2000ms", "stop_grace": "8s", "configuration": "2000ms", "revocation": "5000ms", "leadership": "3000ms", "usage_window": "5s", "usage_due": "10s", "attempt_window": "10s",
                            "attempt_ratio": 0.2, "quota_window": "8s", "quota_excess": 0.1, "quota_slack": 110000, "heartbeat": "1200ms", "attempt_slack": 56}, **(bounds or {})),
            "load": {"shared": True}, "admission": {"enabled": True}, "zones": {"transfer_cost": 0}, "log_level": "info",
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(text, file)

    def start(self):
        program = os.path.join(ROOT, "target/src/node/primrosefork-node")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C", "PRIMROSEFORK_SETTINGS": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([program, "--settings", self.settings], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def is_ready(node):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.ready), 1)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return bool(head) and head.line.split(" ")[1] == "200"
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_until(condition, limit):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.05)
    return False


async def request(port, text, limit):
    """Sends one request on a new connection; returns the status and the body, or 0 when no whole answer came."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        writer.write(text)
        return await asyncio.wait_for(read_answer(reader), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()


async def stream_request(port, text, limit):
    """Sends one request on a new connection; returns the head of the answer, the body as far as it came, and whether it is whole."""
    writer = None
    head = None
    body = b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        writer.write(text)

        async def read():
            nonlocal head, body
            head = await read_head(reader)
            if not head:
                return False
            if head.get("transfer-encoding", "").lower() != "chunked":
                body = await reader.readexactly(int(head.get("content-length", "0")))
                return True
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return True

        is_whole = await asyncio.wait_for(read(), limit)
        return head, body, is_whole
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return head, body, False
    finally:
        if writer:
            writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if not head:
        return 0, b""
    status = int(head.line.split(" ")[1])
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return status, body
    return status, await reader.readexactly(int(head.get("content-length", "0")))


def client_request(method, path, request_id, key, deadline, body=b"", more=""):
    return ("%s %s HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n" % (method, path, request_id, deadline, key, more, len(body))).encode() + body


def run(main, folder):
    """Runs main(record, scratch folder); it returns None if the case could not run, else whether the rule held. Ends the process with the exit code of the script."""
    record = Record(os.path.join(folder, "record.txt"))
    scratch = tempfile.mkdtemp(prefix="review-3-")
    nodes = []
    result = None
    async def guarded():
        # Handlers that still wait when the case is over are ended without a word.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(record, scratch, nodes), 115)

    try:
        result = asyncio.run(guarded())
    except Exception as error:  # pylint: disable=broad-except
        record.write("the case could not run:", type(error).__name__, error)
    finally:
        for node in nodes:
            node.stop()
        if os.environ.get("KEEP"):
            print("kept", scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.write("result:", {None: "could not run", True: "the rule held", False: "the rule was broken"}[result])
    record.close()
    sys.stdout.flush()
    os._exit({None: 2, True: 0, False: 1}[result])  # Without a word from handlers that still wait.
