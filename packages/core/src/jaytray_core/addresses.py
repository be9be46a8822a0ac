"""Parses and formats `IP:port` addresses, by which processes refer to each other."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `IP:port` (`[IP]:port` for IPv6).

    Raises ValueError with a reason for host names and for bad or missing ports.
    """
    host, separator, port_text = text.strip().rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not of the form IP:port")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    if not port_text.isdecimal() or int(port_text) > 65535:
        raise ValueError(f"{port_text!r} is not a port number")
    return host, int(port_text)


def format_address(host: str, port: int) -> str:
    """Return `IP:port`, with an IPv6 number in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
