"""Messages between members of a simulated fleet."""

import asyncio
import random

from jaytray_server.ports import PeerHandler, PeerNetwork


class MemberNetwork:
    """Messages between members with random delays; some are lost or cut off."""

    def __init__(self, member_ids: list[str], rng: random.Random) -> None:
        self.member_ids = member_ids
        self.rng = rng
        self.loss = 0.0
        # Shortest and longest delay of a message.
        self.delays_s = (0.001, 0.02)
        self.cut_off: set[str] = set()
        self.listed = set(member_ids)
        self.handlers: dict[tuple[str, str], PeerHandler] = {}

    def peers_of(self, own: str) -> PeerNetwork:
        def send(to: str, topic: str, body: bytes) -> bool:
            is_cut = self.cut_off & {own, to}
            if is_cut or self.rng.random() < self.loss or to not in self.listed:
                return not is_cut
            handler = self.handlers[to, topic]
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(*self.delays_s), handler, own, body)
            return True

        return PeerNetwork(
            vm_id=own,
            send=send,
            broadcast=lambda _topic, _body: None,
            set_handler=lambda topic, handler: self.handlers.update(
                {(own, topic): handler}
            ),
            neighbours=lambda: [],
            listed_vms=lambda: sorted(self.listed),
        )
