"""Stand-in of a server, as PROTOCOL describes it.

The argument is a JSON object: `id`, `addr`, `store`, `service`, `slots`, `work_ms`,
`kind` ("plain" or "engine"), `models`. Each run is a line on standard output.
`POST /control/NAME?value=V` sets a switch for the test.
"""

import asyncio
import hashlib
import json
import os
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, quote, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent))
from http1 import Request, call, response, serve  # noqa: E402

BEAT_S = 1.2
EVENTS = 12
EVENT_S = 0.05


def seal(request_id: str) -> str:
    return hashlib.sha256(request_id.encode()).hexdigest()[:16]


class Server:
    def __init__(self, options: dict) -> None:
        self.options = options
        self.id = options["id"]
        self.born = time.time_ns() // 1_000_000
        self.beats = 0
        self.orders = 0
        self.models = {m: [] for m in options.get("models", [])}
        self.sizes_mb = options.get("sizes_mb", {})
        self.on_disk = set(options.get("on_disk", []))
        self.fence = 0
        self.is_busy = False
        self.is_changed = asyncio.Event()
        self.running = 0
        self.switches: dict[str, str] = {}

    def log(self, text: str) -> None:
        print(f"{time.time():.3f} {self.id} {text}", flush=True)

    def entry(self) -> bytes:
        self.beats += 1
        entry = {
            "service": self.options["service"], "addr": self.options["addr"],
            "zone": self.options.get("zone", "zone0"), "version": "v1",
            "slots": self.options.get("slots", 6), "state": "ready", "cold_left_ms": 0,
            "seq": self.beats, "born": self.born,
        }  # fmt: skip
        if self.options.get("kind") == "engine":
            models = [{"name": n, "version": 1, "adapters": a} for n, a in self.models.items()]
            at_hand = {"in_memory": [], "on_disk": sorted(self.on_disk)}
            entry |= {"stage": "colocated", "models": models, "at_hand": at_hand}
        return json.dumps(entry).encode()

    async def beat(self) -> None:
        """Write the entry to the store, again and again."""
        path = f"/control/put?key={quote('servers/' + self.id, safe='')}"
        while True:
            await call(
                self.options["store"], "POST", path, {"Host": "s"}, self.entry(), timeout_s=1.0
            )
            try:
                async with asyncio.timeout(BEAT_S):
                    await self.is_changed.wait()
            except TimeoutError:
                pass
            self.is_changed.clear()

    async def handle(self, request: Request, reader, writer) -> bool:
        url = urlsplit(request.target)
        if url.path.startswith("/control/"):
            value = parse_qs(url.query).get("value", [""])[0]
            self.switches[url.path.removeprefix("/control/")] = value
            writer.write(response(200))
            return True
        if url.path == "/report":
            writer.write(response(200, self.report(), {"Content-Type": "application/json"}))
            return True
        if url.path == "/order":
            if request.headers.get("jaytray-expect-instance", self.id) != self.id:
                writer.write(response(421, b"", {"Jaytray-Instance-Id": self.id}))
                return True
            order = json.loads(request.body)
            wanted = self.switches.get("lose_load_of")
            if wanted and order["operation"] == "load" and order["model"] == wanted:
                # No answer now; the test carries the order out later.
                self.switches.clear()
                self.log(f"order {request.body.decode()} is left unanswered")
                Path(self.options["late_file"]).write_bytes(request.body)
                await asyncio.sleep(10)
                return False
            status = self.execute(order)
            writer.write(response(status))
            return True
        if url.path == "/health":
            writer.write(response(200, b"", {"Jaytray-Instance-Id": self.id}))
            return True
        request_id = request.headers.get("jaytray-request-id", "")
        stated = {"Jaytray-Request-Id": request_id}
        if request.headers.get("jaytray-expect-instance", self.id) != self.id:
            writer.write(response(421, b"", {"Jaytray-Instance-Id": self.id}))
            return True
        model = request.headers.get("jaytray-model", "").partition("/")[0]
        if self.options.get("kind") == "engine" and model not in self.models:
            writer.write(response(421, b"", {**stated, "Jaytray-Not-Executed": "1"}))
            return True
        if self.running >= self.options.get("slots", 6) + 24:
            writer.write(response(503, b"", {**stated, "Jaytray-Not-Executed": "1"}))
            return True
        self.running += 1
        tenant = request.headers.get("jaytray-tenant", "")
        self.log(f"run {request_id} {request.method} {request.target} tenant={tenant}")
        try:
            return await self.answer(request, stated, reader, writer)
        finally:
            self.running -= 1
            self.log(f"end {request_id}")

    async def answer(self, request: Request, stated: dict, reader, writer) -> bool:
        request_id = stated["Jaytray-Request-Id"]
        stated["Jaytray-Response-Seal"] = seal(request_id)
        if self.options.get("kind") == "engine":
            if self.switches.get("endless"):
                return await self.send_endless(stated, writer)
            after = int(request.headers.get("last-event-id", "0"))
            writer.write(head(200, stated))
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                writer.write(chunk(b"id: %d\ndata: %d\n\n" % (number, number)))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        await asyncio.sleep(self.options.get("work_ms", 20) / 1000)
        body = seal(request_id).encode() * 50
        self.log(f"answers {request_id}")
        writer.write(response(200, body, stated))
        return True

    def execute(self, order: dict) -> int:
        """Accept or refuse an order, as PROTOCOL describes; returns the status."""
        status = self.check(order)
        held = ",".join(sorted(self.models)) or "nothing"
        self.log(f"order {json.dumps(order)} -> {status}, seq {self.orders}, holds {held}")
        return status

    def check(self, order: dict) -> int:
        if not order.get("holder") or not order.get("fence"):
            return 400
        if self.options.get("fencing") and order["fence"] < self.fence:
            return 412
        self.fence = max(self.fence, order["fence"])
        is_held = order["model"] in self.models
        if is_held == (order["operation"] == "load"):
            return 200
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.is_busy = True
        used = sum(self.sizes_mb[name] for name in self.models)
        needed = self.sizes_mb[order["model"]] if order["operation"] == "load" else 0
        if used + needed > self.options["weights_mb"]:
            self.log(f"crash: ordered to load {used + needed} MB")
            sys.stdout.flush()
            os._exit(1)
        self.work = asyncio.create_task(self.carry_out(order))
        return 202

    async def carry_out(self, order: dict) -> None:
        name = order["model"]
        if order["operation"] == "load":
            kind = "disk_s" if name in self.on_disk else "load_s"
            await asyncio.sleep(self.options[kind])
            self.models[name] = []
            self.on_disk.add(name)
        else:
            while self.running:
                await asyncio.sleep(0.02)
            self.models.pop(name, None)
        self.is_busy = False
        self.is_changed.set()

    async def run_late_order(self, late: dict) -> None:
        """Carry out an order that another start of this server left unanswered."""
        await asyncio.sleep(max(0.0, late["at_s"] - time.time()))
        self.log("the order that was left unanswered is carried out now")
        self.execute(late["order"])

    async def send_endless(self, stated: dict, writer) -> bool:
        """Send bytes that are no answer, without end, until the caller closes."""
        piece = chunk(b"." * self.options.get("piece_bytes", 60))
        writer.write(head(200, stated))
        sent = 0
        while not writer.transport.is_closing():
            writer.write(piece * 16)
            sent += 16
            await writer.drain()
        self.log(f"closed after {sent} pieces")
        return False

    def report(self) -> bytes:
        models = [{"name": n, "version": 1, "adapters": a} for n, a in self.models.items()]
        return json.dumps(
            {
                "stage": "colocated", "models": models, "busy": self.is_busy, "seq": self.orders,
                "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 163467,
                "handles": 0,
            }  # fmt: skip
        ).encode()


def head(status: int, headers: dict) -> bytes:
    lines = [f"HTTP/1.1 {status} X", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def main() -> None:
    server = Server(json.loads(sys.argv[1]))
    host, _, port = server.options["addr"].rpartition(":")
    listener = await serve(host, int(port), server.handle)
    beating = asyncio.create_task(server.beat())
    if late := server.options.get("late"):
        server.late = asyncio.create_task(server.run_late_order(late))
    async with listener:
        await listener.serve_forever()
    beating.cancel()


if __name__ == "__main__":
    asyncio.run(main())
