"""A stand-in of the platform's store, as the page PROTOCOL describes it.

Arguments: host and port, and how many gateways start while it is in trouble, if any:
until each of them has a lease for its record it answers slowly, then it is down (503)
for a while, and well after that. The operator's and the servers' calls bear a header of
their own, by which they are told apart from those of the gateways.
"""

import asyncio
import base64
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

import http_wire

ERA = [("Store-Era", "1"), ("Content-Type", "application/json")]
PAGE_ITEMS = 500
HISTORY_S = 20.0
# The site's doses: answers of 4 ms that take 60 times as long, and 3 s of 4.5 s down.
SLOW_S = 0.24
DOWN_S = 3.0
MEMBER_LEASE_MS = 5_000
OUTSIDE = "x-outside"


class Store:
    """Items, leases and the recent changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.events = []
        self.dropped_revision = 0
        self.changed = asyncio.Event()
        self.next_lease = 100

    def _note(self, event):
        now_s = time.monotonic()
        self.events.append((now_s, event))
        while self.events and self.events[0][0] < now_s - HISTORY_S:
            self.dropped_revision = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "removed": True})

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        for key in keys:
            self.revision += 1
            self.remove(key)
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (ends_s, _) in list(self.leases.items()):
                if ends_s <= now_s:
                    self.end_lease(lease)

    def transact(self, change):
        for row in change.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in change["expected"]]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        for put in change.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in change.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in change.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_s):
        ends_s = time.monotonic() + wait_s
        while True:
            if after > self.revision or after < self.dropped_revision:
                return 410, {}
            events = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            after, prefix = query.get("after", ""), query.get("prefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "more_pages": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        if path == "/kv-watch":
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return await self.watch(
                query.get("prefix", ""), int(query["after"]), wait_s
            )
        if path == "/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/kv-lease":
            ttl_ms = max(1_000, json.loads(request.body)["ttl_ms"])
            self.next_lease += 1
            ends_s = time.monotonic() + ttl_ms / 1000
            self.leases[self.next_lease] = (ends_s, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        return (200 if self.end_lease(lease) else 404), {}


class Trouble:
    """Slow answers, then none but 503, for the calls of gateways."""

    def __init__(self, gateways):
        self.awaited = gateways
        self.down_until_s = None

    async def refuses(self, request):
        """Wait as the trouble demands; return whether the call is refused."""
        if OUTSIDE in request.headers:
            return False
        if self.awaited:
            await asyncio.sleep(SLOW_S)
        return self.is_down()

    def is_down(self):
        return self.down_until_s is not None and time.monotonic() < self.down_until_s

    def note(self, request):
        """Note an answered call; the store goes down after the last lease."""
        if request.target != "/kv-lease" or OUTSIDE in request.headers:
            return
        if self.awaited and json.loads(request.body)["ttl_ms"] == MEMBER_LEASE_MS:
            self.awaited -= 1
            if not self.awaited:
                self.down_until_s = time.monotonic() + DOWN_S
                print(f"down at {time.time():.3f} for {DOWN_S} s", flush=True)


async def main():
    store = Store()
    trouble = Trouble(int(sys.argv[3]) if len(sys.argv) > 3 else 0)

    async def handle(request, reader, writer):
        if await trouble.refuses(request):
            writer.write(http_wire.whole_response(503, ERA, b"{}"))
            await writer.drain()
            return
        status, body = await store.answer(request)
        trouble.note(request)
        data = json.dumps(body).encode()
        writer.write(http_wire.whole_response(status, ERA, data))
        await writer.drain()

    async with http_wire.serving(handle, sys.argv[1], int(sys.argv[2])):
        await store.expire()


def encode(value):
    """Return a value as the store has it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


if __name__ == "__main__":
    asyncio.run(main())
