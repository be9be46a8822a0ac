"""A stand-in of a server, as the page PROTOCOL describes it; options are JSON.

`mode` names its trouble while it is on: `endless` sends bytes that end no event on
streams; none by default. It is on from `trouble_from_s` to `trouble_until_s` of the
run. A request to a path with `harmful` ends the process when it begins to run, if
`harmful` is true. Each run is one line in the event log.
"""

import asyncio
import json
import os
import sys
import time

import http_wire
from store import encode

BEAT_S = 1.2
OUTSIDE = ("X-Outside", "1")
LEASE_MS = 3_600
EVENT_PAUSE_S = 0.05


class Server:
    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.slots = options.get("slots", 64)
        self.places = asyncio.Semaphore(self.slots)
        self.held = 0
        self.running = 0
        self.seq = 0
        self.born = time.time_ns() // 1_000_000
        self.log = open(options["log"], "a", encoding="utf-8")

    def now_s(self):
        return time.monotonic() - self.options["origin_s"]

    def note(self, text):
        self.log.write(f"{self.now_s():8.3f} {self.id} {text}\n")
        self.log.flush()

    def is_troubled(self):
        begin_s = self.options.get("trouble_from_s", float("inf"))
        end_s = self.options.get("trouble_until_s", float("inf"))
        return begin_s <= self.now_s() < end_s

    def entry(self):
        return {
            "service": self.options.get("service", "nutri-llm"),
            "addr": self.options["addr"],
            "zone": self.options["zone"],
            "version": self.options.get("version", "v1"),
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": [{"name": "m1", "version": 1, "adapters": []}],
            "seq": self.seq,
            "born": self.born,
        }

    async def register(self):
        """Keep the entry in the store, which no one else writes."""
        lease = 0
        while True:
            kept = None
            if lease:
                kept = await self._call("POST", f"/kv-keep/{lease}", {})
            if not lease or kept.status == 404:
                granted = await self._call("POST", "/kv-lease", {"ttl_ms": LEASE_MS})
                lease = json.loads(granted.body)["lease"] if granted.is_whole else 0
            if lease:
                self.seq += 1
                put = {
                    "key": f"servers/{self.id}",
                    "value": encode(self.entry()),
                    "lease": lease,
                }
                change = {"expected": [], "puts": [put], "deletes": []}
                await self._call("POST", "/kv-txn", change)
            await asyncio.sleep(BEAT_S)

    async def _call(self, method, path, body):
        data = json.dumps(body).encode()
        return await http_wire.call(
            self.options["store"], method, path, [OUTSIDE], data, timeout_s=1.0
        )

    async def handle(self, request, reader, writer):
        instance = request.headers.get("jaytray-expect-instance", "")
        request_id = request.headers.get("jaytray-request-id", "")
        answer = [("Jaytray-Request-Id", request_id), ("Keep-Alive", "timeout=30")]
        if request.target == "/report":
            self._write(writer, 200, [], json.dumps(self._report()).encode())
            return True
        if request.target == "/health":
            self._write(writer, 200, [("Jaytray-Instance-Id", self.id)], b"")
            return True
        if instance and instance != self.id:
            self._write(writer, 421, [*answer, ("Jaytray-Instance-Id", self.id)], b"")
            return True
        if request.target == "/order":
            self._write(writer, 200, [], b"{}")
            return True
        if self.held >= self.slots + self.options.get("queue", 24):
            self._write(writer, 503, [*answer, ("Jaytray-Not-Executed", "1")], b"")
            return True
        self.held += 1
        try:
            async with self.places:
                self.running += 1
                try:
                    return await self._run(request, request_id, answer, writer)
                finally:
                    self.running -= 1
        finally:
            self.held -= 1

    async def _run(self, request, request_id, answer, writer):
        self.note(f"ran {request_id} {request.target} at {self.running} of slots")
        if "harmful" in request.target and self.options.get("harmful"):
            self.note(f"crashed {request_id}")
            os._exit(1)
        answer.append(("Jaytray-Response-Seal", "s.1"))
        if "/stream/" not in request.target:
            await asyncio.sleep(self.options.get("work_s", 0.0225))
            is_large = request.target.endswith("/large")
            size = self.options.get("answer_bytes", 800) if is_large else 800
            body = f"done {request_id}".encode()
            self._write(writer, 200, answer, body.ljust(size, b"."))
            await writer.drain()
            self.note(f"done {request_id}")
            return True
        answer.append(("Transfer-Encoding", "chunked"))
        answer.append(("Content-Type", "text/event-stream"))
        writer.write(http_wire.response_head(200, answer))
        if self.options.get("mode") == "endless" and self.is_troubled():
            chunk = b"." * self.options.get("chunk_bytes", 16_384)
            pause_s = len(chunk) / self.options.get("bytes_per_s", 1e6)
            while not writer.transport.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                await writer.drain()
                await asyncio.sleep(pause_s)
            return False
        after = int(request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.options.get("events", 57) + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note(f"done {request_id}")
        return True

    def _report(self):
        return {
            "stage": "colocated",
            "models": self.entry()["models"],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 132_184,
            "handles": 0,
        }

    def _write(self, writer, status, headers, body):
        writer.write(http_wire.whole_response(status, headers, body))


async def main():
    options = json.loads(sys.argv[1])
    server = Server(options)
    if options.get("new_id"):
        server.id = f"{options['id']}-{server.born % 10**7}"
    host, port = options["addr"].rsplit(":", 1)
    async with http_wire.serving(server.handle, host, int(port)):
        await server.register()


if __name__ == "__main__":
    asyncio.run(main())
