"""Whether this member reaches the engines that a placement leader sends orders to."""

from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.member_messages import MemberMessages


def reaches_engines(directory: Directory, member_messages: MemberMessages) -> bool:
    """Return False if only other members reach the engines of a service."""
    table = directory.route_table
    services = table.services_by_name.values() if table is not None else ()
    return not any(
        member_messages.is_reached_by_others_only(service.name)
        for service in services
        if service.engine is not None
    )
