"""Offset of the ports of an example, so that several copies run on one machine."""

__all__ = ["LARGEST_PORT", "shift_ports", "shift_url"]

LARGEST_PORT = 65_535
PORT_KEYS = ("api_port", "internal_port", "first_port")
URL_KEYS = ("store_url", "vm_list_url")


def shift_ports(data, offset):
    """Return a deployment as read from YAML with an offset added to every port.

    Parameters
    ----------
    data : dict, list or scalar
        Part of the deployment.
    offset : int
        Number that is added to every port.
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
    """Return a URL that ends with a port with an offset added to the port."""
    base, _, port = url.rpartition(":")
    return f"{base}:{int(port) + offset}"
