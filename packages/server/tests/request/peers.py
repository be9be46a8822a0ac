"""An in-process fake of the network between VMs."""

import asyncio

from jaytray_server.ports import PeerHandler, PeerNetwork


class FakeNetwork:
    """Delivers messages between VMs.

    VMs in `cut_off` neither send nor receive; messages of `silent_topics` are lost.
    """

    def __init__(self, *, vm_ids: tuple[str, ...]) -> None:
        self.vm_ids = vm_ids
        self.cut_off: set[str] = set()
        self.silent_topics: set[str] = set()
        self.messages = 0
        self._handlers: dict[tuple[str, str], PeerHandler] = {}

    def for_vm(self, vm_id: str) -> PeerNetwork:
        """Return the peer network of one VM."""

        def send(other: str, topic: str, body: bytes) -> bool:
            return self._send(vm_id, other, topic, body)

        def broadcast(topic: str, body: bytes) -> None:
            for other in self.vm_ids:
                if other != vm_id:
                    self._send(vm_id, other, topic, body)

        def set_handler(topic: str, handler: PeerHandler) -> None:
            self._handlers[vm_id, topic] = handler

        return PeerNetwork(
            vm_id=vm_id,
            send=send,
            broadcast=broadcast,
            set_handler=set_handler,
            neighbours=lambda: [v for v in self.vm_ids if v != vm_id],
            listed_vms=lambda: list(self.vm_ids),
        )

    def _send(self, sender: str, receiver: str, topic: str, body: bytes) -> bool:
        if {sender, receiver} & self.cut_off:
            return False
        handler = self._handlers.get((receiver, topic))
        if handler is not None and topic not in self.silent_topics:
            self.messages += 1
            asyncio.get_running_loop().call_soon(handler, sender, body)
        return True
