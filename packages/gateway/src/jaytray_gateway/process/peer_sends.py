"""Sends a message to all other members, by way of the hubs where the fleet has some."""

from jaytray_server.ports import PeerNetwork


def send_to_others(peers: PeerNetwork, topic: str, body: bytes) -> None:
    """Send to every other listed member; messages may be lost."""
    if peers.send_to_all is not None and peers.send_to_all(topic, body):
        return
    for member in peers.listed_vms():
        if member != peers.vm_id:
            peers.send(member, topic, body)
