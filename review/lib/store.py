"""Stand-in of the platform's key-value store, as PROTOCOL describes it.

Argument: address to listen on. `/control/put` is for the test only: it acts for the
operator and the servers.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent))
from http1 import Request, response, serve  # noqa: E402

HISTORY = 5000


class State:
    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.leases: dict[int, list[float]] = {}
        self.history: list[tuple[int, dict]] = []
        self.revision = 1
        self.next_lease = 1


class Store:
    def __init__(self) -> None:
        self.state = State()
        # The store has come back from an older copy once, before the case.
        self.era = 1
        self.changed = asyncio.Condition()

    def put(self, key: str, value: bytes, lease: int) -> None:
        state = self.state
        state.revision += 1
        before = state.items.get(key)
        state.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": state.revision,
            "created": before["created"] if before else state.revision,
            "lease": lease,
        }
        state.history.append((state.revision, state.items[key]))

    def delete(self, key: str) -> None:
        state = self.state
        if state.items.pop(key, None) is not None:
            state.revision += 1
            event = {"key": key, "revision": state.revision, "removed": True}
            state.history.append((state.revision, event))

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [n for n, lease in self.state.leases.items() if lease[1] <= now]
            for number in ended:
                await self.end_lease(number)

    async def end_lease(self, number: int) -> None:
        self.state.leases.pop(number, None)
        for key in [k for k, i in self.state.items.items() if i["lease"] == number]:
            self.delete(key)
        await self.notify()

    async def handle(self, request: Request) -> bytes:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path, state = url.path, self.state
        if path.startswith("/control/"):
            return await self.control(path.removeprefix("/control/"), query, request.body)
        if path == "/kv-key":
            item = state.items.get(query["key"])
            found = {**(item or {}), "current_rev": state.revision}
            return self.answer(200 if item else 404, found)
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in state.items if k.startswith(prefix) and k > after)
            page = [state.items[key] for key in keys[:500]]
            more = len(keys) > 500
            body = {"items": page, "more_pages": more, "current_rev": state.revision}
            return self.answer(200, body)
        if path == "/kv-watch":
            return await self.watch(query)
        body = json.loads(request.body or b"{}")
        if path == "/kv-txn":
            return await self.transact(body)
        if path == "/kv-lease":
            number = state.next_lease
            state.next_lease += 1
            ttl = max(1000, body["ttl_ms"])
            state.leases[number] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return self.answer(200, {"lease": number, "ttl_ms": ttl})
        if path.startswith("/kv-keep/"):
            lease = state.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return self.answer(404, {})
            lease[1] = time.monotonic() + lease[0]
            return self.answer(200, {"ttl_ms": round(lease[0] * 1000)})
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rpartition("/")[2]))
            return self.answer(200, {})
        return self.answer(400, {})

    async def watch(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            state = self.state
            oldest = state.history[0][0] if state.history else state.revision
            if after > state.revision or after < oldest - 1:
                return self.answer(410, {"current_rev": state.revision})
            events = [e for r, e in state.history if r > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                body = {"events": events, "current_rev": state.revision}
                return self.answer(200, body)
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def transact(self, body: dict) -> bytes:
        state = self.state
        rows = body.get("expected", [])
        current = {row["key"]: state.items.get(row["key"]) for row in rows}
        for row in rows:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                found = [item for item in current.values() if item]
                return self.answer(412, {"items": found})
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in state.leases:
                return self.answer(404, {})
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        del state.history[:-HISTORY]
        await self.notify()
        return self.answer(200, {"revision": state.revision})

    async def control(self, verb: str, query: dict[str, str], body: bytes) -> bytes:
        """Act for the operator and the servers."""
        if verb == "put":
            self.put(query["key"], body, 0)
        await self.notify()
        return self.answer(200, {"revision": self.state.revision})

    def answer(self, status: int, body: dict) -> bytes:
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return response(status, json.dumps(body).encode(), headers)


async def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    store = Store()

    async def handler(request, _reader, writer) -> bool:
        answer = await store.handle(request)
        await asyncio.sleep(0.002)
        writer.write(answer)
        return True

    expiring = asyncio.create_task(store.expire())
    server = await serve(host, int(port), handler)
    async with server:
        await server.serve_forever()
    expiring.cancel()


if __name__ == "__main__":
    asyncio.run(main())
