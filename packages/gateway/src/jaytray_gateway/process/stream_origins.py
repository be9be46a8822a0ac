"""Finds the software version at which a stream began, for a request that continues it.

The member that relays a stream's first event remembers its service and version. While
the service's targets have several versions, it also sends this to two other members, so
that the stream can go on if the member is lost. A member that does not know a stream
asks others. If none knows it, the stream can go on only if the service has had targets
of one version, by a copy of the directory that is newer than the request.
"""

import asyncio
import hashlib
import itertools
from collections import OrderedDict
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.software_versions import (
    VERSION_MEMORY_S,
    SoftwareVersions,
)
from jaytray_server.ports import PeerNetwork

# Members besides the relaying one that remember a stream.
COPIES = 2
# Members asked for a stream; more than have a copy, as the list may have changed since
# and the relaying member may not have sent its copies yet.
MAX_MEMBERS_ASKED = 8
# Time limit for the replies: several times the latency between failure domains and the
# pauses of a busy process, well below the wait after which callers give up.
REPLY_TIMEOUT_S = 0.3
# Time limit for updating the copy of the directory. An older copy than this at the
# beginning shows that the key-value service cannot be reached.
UPDATE_TIMEOUT_S = 1.0
MAX_COPY_AGE_S = 2.0
MAX_ORIGINS = 20_000

_COPY = "gateway.stream_origin"
_QUESTION = "gateway.stream_question"
_REPLY = "gateway.stream_reply"


class StreamOrigin(NamedTuple):
    """The service and the software version of the target that began a stream."""

    service: str
    software_version: str


class _KnownOrigin(NamedTuple):
    """`is_own` is whether this member relayed the stream's first event."""

    origin: StreamOrigin
    is_own: bool
    expires_at_s: float


class _Copy(NamedTuple):
    key: str
    origin: StreamOrigin


class _Question(NamedTuple):
    number: int
    key: str


class _Reply(NamedTuple):
    number: int
    origin: StreamOrigin | None


class _Search:
    """Replies to one question; `is_done` is set by the last, or one with an origin."""

    def __init__(self, *, expected: int) -> None:
        self.replies: list[_Reply] = []
        self.is_done = asyncio.Event()
        self._expected = expected

    def add(self, reply: _Reply) -> None:
        self.replies.append(reply)
        if reply.origin is not None or len(self.replies) >= self._expected:
            self.is_done.set()


def stream_key(account: str, request_id: str) -> str:
    """Return the key of the stream that the account's request began.

    Request ids are chosen by callers, so they are unique within an account only.
    """
    name = f"{account}\0{request_id}".encode()
    return hashlib.blake2b(name, digest_size=12).hexdigest()


class StreamOrigins:
    """The streams that this member knows, and the exchange with other members."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        directory: Directory,
        versions: SoftwareVersions,
        clock: MonotonicClock,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._versions = versions
        self._clock = clock
        self._known_by_key: OrderedDict[str, _KnownOrigin] = OrderedDict()
        self._mixed_services: frozenset[str] = frozenset()
        self._numbers = itertools.count(1)
        self._search_by_number: dict[int, _Search] = {}
        peers.set_handler(_COPY, self._handle_copy)
        peers.set_handler(_QUESTION, self._handle_question)
        peers.set_handler(_REPLY, self._handle_reply)

    def record(self, key: str, origin: StreamOrigin) -> None:
        """Remember a stream whose first event this member is about to relay."""
        self._remember(key, origin, is_own=True)
        if self._versions.is_mixed(origin.service):
            self._send_copies(key, origin)

    def update(self) -> None:
        """Send copies of the streams of services that now have several versions."""
        before, self._mixed_services = (
            self._mixed_services,
            self._versions.mixed_services(),
        )
        added = self._mixed_services - before
        if not added:
            return
        for key, known in self._known_by_key.items():
            if known.is_own and known.origin.service in added:
                self._send_copies(key, known.origin)

    async def find(
        self, key: str, service: str, *, request_id: str
    ) -> StreamOrigin | None:
        """Return where a stream began, or None if that cannot be told.

        `service` is the one that serves the stream if it is unknown. `request_id` is
        that of the request that continues it, for the log.
        """
        origin, source = self._known(key), "own"
        replies: list[_Reply] = []
        if origin is None:
            replies = await self._ask(key)
            found = [reply.origin for reply in replies if reply.origin is not None]
            origin, source = (found[0], "member") if found else (None, "none")
            if origin is not None:
                self._remember(key, origin, is_own=False)
        if origin is None:
            origin = await self._only_possible_origin(service)
            if origin is not None:
                source = "only_version"
                self._remember(key, origin, is_own=True)
        get_logger().info(
            "stream_origin_looked_up",
            request_id=request_id,
            source=source,
            service=origin.service if origin else service,
            software_version=origin.software_version if origin else "",
            replies=len(replies),
            copy_age_s=round(self._directory.age_s(), 2),
        )
        return origin

    async def _only_possible_origin(self, service: str) -> StreamOrigin | None:
        """Return the origin of any stream if the service has had one version only."""
        is_old = self._directory.age_s() > MAX_COPY_AGE_S
        if is_old or self._versions.is_mixed(service):
            return None
        is_current = await self._directory.wait_until_current(
            self._clock(), UPDATE_TIMEOUT_S
        )
        versions = self._versions.recent(service)
        if not is_current or len(versions) != 1:
            return None
        return StreamOrigin(service, *versions)

    def _known(self, key: str) -> StreamOrigin | None:
        known = self._known_by_key.get(key)
        is_valid = known is not None and known.expires_at_s > self._clock()
        return known.origin if known is not None and is_valid else None

    def _remember(self, key: str, origin: StreamOrigin, *, is_own: bool) -> None:
        now_s = self._clock()
        self._known_by_key[key] = _KnownOrigin(origin, is_own, now_s + VERSION_MEMORY_S)
        self._known_by_key.move_to_end(key)
        while self._known_by_key:
            oldest = next(iter(self._known_by_key.values()))
            is_full = len(self._known_by_key) > MAX_ORIGINS
            if oldest.expires_at_s > now_s and not is_full:
                return
            self._known_by_key.popitem(last=False)

    def _send_copies(self, key: str, origin: StreamOrigin) -> None:
        body = encode_msgpack(_Copy(key, origin))
        for member in self._ranked_members(key)[:COPIES]:
            self._peers.send(member, _COPY, body)

    def _ranked_members(self, key: str) -> list[str]:
        others = set(self._peers.listed_vms()) - {self._peers.vm_id}
        return rank_members(key, others)

    async def _ask(self, key: str) -> list[_Reply]:
        """Return the replies of other members that came in time."""
        question = _Question(next(self._numbers), key)
        body = encode_msgpack(question)
        members = [
            member
            for member in self._ranked_members(key)[:MAX_MEMBERS_ASKED]
            if self._peers.send(member, _QUESTION, body)
        ]
        if not members:
            return []
        search = _Search(expected=len(members))
        self._search_by_number[question.number] = search
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await search.is_done.wait()
        except TimeoutError:
            get_logger().debug("stream_replies_missing", replies=len(search.replies))
        finally:
            del self._search_by_number[question.number]
        return search.replies

    def _handle_copy(self, sender: str, body: bytes) -> None:
        copy = decode_msgpack(body, _Copy, peer=sender)
        self._remember(copy.key, copy.origin, is_own=False)

    def _handle_question(self, sender: str, body: bytes) -> None:
        question = decode_msgpack(body, _Question, peer=sender)
        reply = _Reply(question.number, self._known(question.key))
        self._peers.send(sender, _REPLY, encode_msgpack(reply))

    def _handle_reply(self, sender: str, body: bytes) -> None:
        reply = decode_msgpack(body, _Reply, peer=sender)
        search = self._search_by_number.get(reply.number)
        if search is not None:
            search.add(reply)
