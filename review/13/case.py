"""The leader is cut off from the store while it stores a usage window; another node leads and reports the window; then the store comes back from a copy."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.environ.get("LIB3") or os.path.join(HERE, "..", "lib-3"))
from standins import *  # noqa

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WINDOW = 5.0


async def main(record, scratch, nodes):
    ports = free_ports(3 * 4 + 3 + 3)
    store_ports, cloud_port, server_port = ports[12:15], ports[15], ports[16]
    store = Store(record)
    await store.listen(store_ports)
    cloud = Cloud(record)
    await cloud.listen(cloud_port)
    server = PlainServer(record, "i-1", lambda head: float(head.get("x-work", "0.03")))
    await server.listen(server_port)
    store.put("servers/i-1", server.entry("app", "a"))
    slow = PlainServer(record, "e-1", lambda head: 6.0)  # a model engine whose first token does not come within the timeout of the route
    await slow.listen(ports[17])
    store.put("servers/e-1", json.dumps(dict(json.loads(slow.entry("llm", "a")), stage="both", models=[{"name": "m", "version": 1, "adapters": []}])).encode())
    store.put("op/config", configuration(1, [
        {"name": "r-write", "host": "app.example", "prefix": "/write/", "route-type": "non_idempotent", "timeout-ms": 1000, "slo-ms": 150, "priority": 0, "backend": "app", "max-attempts": 1, "public": False},
        {"name": "r-chat", "host": "app.example", "prefix": "/chat/", "route-type": "streaming", "timeout-ms": 4000, "slo-ms": 500, "priority": 0, "backend": "llm", "max-attempts": 2, "public": False, "affinity": True, "can-resume": True, "gap-aim-ms": 250}],
        [{"name": "app", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False},
         {"name": "llm", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": False, "engine": {"capacity": 64, "kv-tokens": 354809, "stride": 3, "models": [{"name": "m"}]}}],
        [{"name": "salon", "api-keys": ["k1"], "priority": 1, "rate-per-s": 0, "burst": 0}]))
    for index, zone in enumerate("abc"):
        nodes.append(Node("edge-%s-1" % zone, zone, store_ports[index], cloud_port, ports[4 * index:4 * index + 4], scratch))
        nodes[-1].start()
    for node in nodes:
        if not await wait_until(lambda: is_ready(node), 10):
            record.write(node.name, "is not ready")
            return None
    sent = [0]

    async def send(node, path, more, limit):
        sent[0] += 1
        name = "q%d" % sent[0]
        record.write("client sends", name, path, "to", node.name)
        status, _ = await request(node.front, client_request("POST", path, name, "k1", int(limit * 1000), b"x", more), limit + 1)
        record.write("client got", status, "for", name)

    async def traffic():
        while True:
            for node in nodes:
                asyncio.ensure_future(send(node, "/write/x", "", 1))
                await asyncio.sleep(0.1)

    task = asyncio.ensure_future(traffic())

    def leader():
        text = store.value("primrosefork/leader")
        return json.loads(text)["id"] if text else None

    # A window that ends well after the leader has reported one.
    if not await wait_until(lambda: any(path == "/usage" for _, path, *_ in cloud.accepted), 30):
        return None
    end = (int((time.time() + 2.5) / WINDOW) + 1) * WINDOW
    window = int(end / WINDOW) - 1

    async def at(seconds):
        await asyncio.sleep(max(0, end + seconds - time.time()))

    await at(-0.8)
    first = next(node for node in nodes if node.name == leader())
    other = next(node for node in nodes if node is not first)
    record.write("window", window, "ends in 0.8 s; the leader is", first.name)
    asyncio.ensure_future(send(other, "/chat/x", "X-Model: m\r\nX-Token-Counts: 100,24\r\nX-Prompt-Prefix: 5c1e07a2:50,91bd3f06:50\r\n", 4))
    await at(1.3)
    if leader() != first.name:
        return None
    if TROUBLE:
        record.write("trouble:", first.name, "is cut off from the store")
        store.cut[first.store_port].clear()
    await at(3.2)
    copy = store.backup()
    record.write("a copy of the store is made; its leader's key:", leader())
    await at(5.5)
    if TROUBLE:
        record.write("the cut ends; the leader is", leader())
        store.cut[first.store_port].set()
    await at(6.2)
    if TROUBLE:
        record.write("trouble: the store is away")
        store.away = True
        store.close_all()
        await at(6.5)
        store.restore(copy)
        store.away = False
        record.write("the store is back from the copy, which is 3.3 s old")
    await at(11)
    task.cancel()
    held = True
    for number, counts in sorted(cloud.usage().items()):
        record.write("window", number, "accepted:", counts)
        if len(counts) > 1:
            held = False
    if window not in cloud.usage():
        return None
    return held


run(main, HERE)
