"""Engines leave while they send streams that end with their connection; the runs are moved."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BROKEN, HELD, LLM, NOT_RUN, Engine, configuration, make_request, read_answer, route, run_case  # noqa: E402

EVENTS = 160
EVENT_GAP = 0.05
STREAMS = 6
LEAVES_MS = 2500


class StreamEngine(Engine):
    """An engine that streams events and moves a run when it is asked to."""

    def __init__(self, name, record, zone, unframed):
        super().__init__(name, "llm", record, zone, model=True)
        self.unframed = unframed
        self.runs = {}  # Request id -> [is to stop, last event made, future of its end]

    async def handle(self, method, target, headers, body, writer):
        if target == "/kv-move":
            return await self.move(json.loads(body), writer)
        return await super().handle(method, target, headers, body, writer)

    async def move(self, call, writer):
        """Stops the run, closes its stream without its end, and answers when the copy is complete."""
        run = self.runs.get(call["id"])
        if run is None:
            return await self.reply(writer, 404, {})
        run[0] = True
        await run[2]
        self.record(f"{self.id} moved {call['id']} to {call['to']} after event {run[1]}")
        return await self.reply(writer, 200, {"handle": f"copy-{call['id']}", "created-rev": run[1]})

    async def run(self, method, target, headers, body, writer):
        request_id = headers["x-attempt-id"]
        after = int(headers.get("last-event-id", 0))
        self.record(f"{self.id} runs {request_id} after event {after}" + (f" from {headers['kv-from']}" if "kv-from" in headers else ""))
        run = self.runs[request_id] = [False, after, asyncio.get_running_loop().create_future()]
        framing = ["Connection: close"] if self.unframed else ["Transfer-Encoding: chunked"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *self.answer_headers(headers), *framing, "", ""]).encode())
        try:
            for number in range(after + 1, EVENTS + 1):
                event = f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
                writer.write(event if self.unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                run[1] = number
                await asyncio.sleep(EVENT_GAP)
                if run[0]:
                    return False  # The run has stopped; its stream is closed without its end.
            self.record(f"{self.id} ends {request_id} with its last event")
            if not self.unframed:
                writer.write(b"0\r\n\r\n")
            return not self.unframed
        finally:
            writer.close()
            del self.runs[request_id]
            run[2].set_result(None)


async def call(world, node, request_id):
    """Sends a request and returns whether its stream kept the rule, or None if it failed visibly."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["callers"])
    writer.write(make_request("chat", request_id, b"prompt", deadline=15000,
                              more=["X-Model: m", f"X-Token-Counts: 543,{3 * EVENTS}", f"X-Prompt-Prefix: 5c1e07a2:172,{1000 + int(request_id.split('-')[1]):x}:371"]))
    status, _, body, is_complete = await read_answer(reader)
    writer.close()
    ids = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
    world.record(f"client got {status} for {request_id}: events {ids[:1]} to {ids[-1:]}, {len(ids)} in all; the answer {'ends as complete' if is_complete else 'is visibly broken off'}")
    if status != 200:
        return None
    if ids != list(range(1, len(ids) + 1)) or (is_complete and len(ids) != EVENTS):
        return False
    return True if is_complete else None


async def play(world, trouble):
    # TROUBLE=0: no engine leaves. TROUBLE=framed: one leaves, and its streams are sent in chunks.
    unframed = trouble != "framed"
    engines = [StreamEngine(f"i-{number}", world.record, "a" if number < 2 else "b", unframed) for number in range(4)]
    config = configuration(1, [route("chat", "streaming", "llm", **{"timeout-ms": 15000, "slo-ms": 400, "gap-aim-ms": 250})], [LLM])
    if not await world.begin(config, engines, 3):
        return NOT_RUN
    calls = [asyncio.ensure_future(call(world, world.nodes[number % 3], f"attempt-{number}")) for number in range(STREAMS)]
    await asyncio.sleep(1)
    if trouble != "0":
        leaving = [engine for engine in engines if engine.runs and engine.zone == "a"] or [engine for engine in engines if engine.runs][:1]
        for engine in leaving:
            world.record(f"{engine.id} reports that it leaves in {LEAVES_MS} ms")
            await engine.register(world.store, "draining", spot=True, leaves_ms=LEAVES_MS)
    kept = await asyncio.gather(*calls)
    if False in kept:
        return BROKEN
    return HELD if True in kept else NOT_RUN


run_case(HERE, play)
