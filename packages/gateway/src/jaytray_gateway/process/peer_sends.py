"""Sends a message to each of the other members directly."""

from jaytray_server.ports import PeerNetwork


def send_to_others(peers: PeerNetwork, topic: str, body: bytes) -> None:
    """Send to every other listed member; messages may be lost."""
    for member in peers.listed_vms():
        if member != peers.vm_id:
            peers.send(member, topic, body)
