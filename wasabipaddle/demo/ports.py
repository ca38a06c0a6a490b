"""Shift of every port of an example, so that several run on one machine."""

__all__ = ["LARGEST_PORT", "shift_ports", "shift_url"]

LARGEST_PORT = 65_535
PORT_KEYS = ("api_port", "internal_port", "first_port")
URL_KEYS = ("store_url", "vm_list_url")


def shift_ports(data, offset):
    """Return a deployment, as read from YAML, with every port shifted.

    Parameters
    ----------
    data : dict, list or scalar
        Part of the deployment.
    offset : int
        Number that is added to each port.
    """
    if isinstance(data, list):
        return [shift_ports(item, offset) for item in data]
    if not isinstance(data, dict):
        return data
    shifted = {}
    for key, value in data.items():
        if key in PORT_KEYS:
            shifted[key] = value + offset
        elif key in URL_KEYS:
            shifted[key] = shift_url(value, offset)
        else:
            shifted[key] = shift_ports(value, offset)
    return shifted


def shift_url(url, offset):
    """Return a URL that ends in a port with the port shifted."""
    base, _, port = url.rpartition(":")
    return f"{base}:{int(port) + offset}"
