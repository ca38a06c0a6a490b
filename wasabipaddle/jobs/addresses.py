"""Addresses of the form HOST:PORT."""

import ipaddress
import re

__all__ = ["is_callable_address"]

MAX_HOST_LENGTH = 253
MAX_PORT = 65_535
HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST_NAME = re.compile(rf"{HOST_LABEL}(?:\.{HOST_LABEL})*")
PORT = re.compile(r"[0-9]{1,5}")


def is_callable_address(address) -> bool:
    """Return whether a string is a host with a port that can be connected to.

    The host is a name in ASCII, an IPv4 address, or an IPv6 address in brackets; the
    port is 1 to 65535. The lookup of some other names raises errors that are no
    connection errors.
    """
    if not isinstance(address, str):
        return False
    host, _, port = address.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ip_address(host[1:-1], ipaddress.IPv6Address)
    if len(host) > MAX_HOST_LENGTH or not HOST_NAME.fullmatch(host):
        return False
    # URLs take a host that ends with a number for an IPv4 address.
    is_name = not host.rpartition(".")[2].isdecimal()
    return is_name or _is_ip_address(host, ipaddress.IPv4Address)


def _is_ip_address(host, version):
    try:
        version(host)
    except ValueError:
        return False
    return "%" not in host
