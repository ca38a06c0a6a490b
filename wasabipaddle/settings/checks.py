"""Checks of the consistency of settings and deployments."""

import collections
import ipaddress

__all__ = ["check_cell_settings", "check_deployment", "check_settings"]

MIN_TOKEN_CHARACTERS = 16
MAX_PORT = 65_535
URL_SCHEMES = ("http://", "https://")


def check_deployment(deployment, reader, *, prefix=""):
    """Report inconsistencies of a deployment to `reader`.

    Parameters
    ----------
    deployment : Deployment
        Deployment to check.
    reader : Reader
        Reader of the file, which collects the problems and knows the line of each
        key.
    prefix : str
        Key path of the deployment inside the file, with a trailing dot.
    """
    _check_locations(deployment, reader, prefix)
    _check_hosts_and_ports(deployment, reader, prefix)
    for key in ("data_centres", "entries"):
        if not getattr(deployment, key):
            reader.report_at(prefix + key, "the list is empty", "at least one item")
        _check_unique(reader, prefix + key, [i.name for i in getattr(deployment, key)])
    _check_unique(reader, prefix + "quotas", [q.team for q in deployment.quotas])
    _check_unique(reader, prefix + "racks", [r.rack for r in deployment.racks])
    racks = {r.rack: r for r in deployment.racks}
    for i, group in enumerate(deployment.endpoints):
        key = f"{prefix}endpoints.{i}"
        rack = racks.get(group.rack)
        if rack is None or rack.data_centre != group.data_centre:
            detail = f"the data centre {group.data_centre} has no rack {group.rack}"
            reader.report_at(f"{key}.rack", detail, ", ".join(racks))
        if group.connections < group.slots:
            detail = "fewer connections than slots"
            reader.report_at(f"{key}.connections", detail, f"at least {group.slots}")


def check_settings(settings, reader):
    """Report inconsistencies of the settings of one process to `reader`."""
    names = [p.name for p in settings.deployment.entries]
    if settings.process not in names:
        detail = f"{settings.process!r} is not an entry process of the deployment"
        reader.report_at("process", detail, ", ".join(names))
    membership = settings.membership
    if membership.suspect_s <= membership.heartbeat_s:
        detail = "the suspicion time is not longer than the heartbeat period"
        allowed = f"above {membership.heartbeat_s:g}s"
        reader.report_at("membership.suspect", detail, allowed)
    routing = settings.routing
    if routing.grant_s <= routing.grant_period_s:
        detail = "a grant expires before it can be renewed"
        reader.report_at("routing.grant", detail, f"above {routing.grant_period_s:g}s")
    api = settings.api
    if bool(api.tls.certificate) != bool(api.tls.key):
        detail = "a certificate needs a key, and a key needs a certificate"
        reader.report_at("api.tls", detail, "both files, or neither")
    if api.tls.certificate and not api.tls.authority:
        detail = "entry processes need the authority to verify calls from each other"
        reader.report_at("api.tls", detail, "the path of the CA certificate")
    if api.caller_burst < api.caller_rate_per_s / 100:
        detail = "the burst allows less than 10 ms of calls at the full rate"
        allowed = f"at least {api.caller_rate_per_s / 100:g}"
        reader.report_at("api.caller_burst", detail, allowed)
    _check_tokens(api, reader)


def check_cell_settings(settings, reader):
    """Report malformed addresses in the settings of a cell process to `reader`."""
    required = {
        "callers": settings.callers,
        "readiness": settings.readiness,
        "internal": settings.internal,
        "platform.store": settings.platform.store,
    }
    optional = {
        "platform.eligibility": settings.platform.eligibility,
        "platform.machines": settings.platform.machines,
    }
    for key, address in {**required, **optional}.items():
        if address or key in required:
            _check_host_port(reader, key, address)


def _check_host_port(reader, key, address):
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        reader.report_at(key, f"{address!r} is not an address", "HOST:PORT")


def _check_tokens(api, reader):
    for key in ("tokens", "callers"):
        items = getattr(api, key)
        for i, item in enumerate(items):
            if len(item.token) < MIN_TOKEN_CHARACTERS or not item.token.isascii():
                allowed = f"at least {MIN_TOKEN_CHARACTERS} ASCII characters"
                reader.report_at(
                    f"api.{key}.{i}", "the token is too short or not ASCII", allowed
                )
    tokens = [item.token for item in (*api.tokens, *api.callers)]
    if len(set(tokens)) < len(tokens):
        detail = "two teams or callers have the same token"
        reader.report_at("api", detail, "a different token for each team and caller")


def _check_locations(deployment, reader, prefix):
    regions = {d.region for d in deployment.data_centres}
    centres = {d.name for d in deployment.data_centres}
    if deployment.store_region not in regions:
        detail = f"no data centre is in the region {deployment.store_region!r}"
        allowed = ", ".join(sorted(regions))
        reader.report_at(prefix + "store_region", detail, allowed)
    for key in ("entries", "racks", "endpoints"):
        for i, item in enumerate(getattr(deployment, key)):
            if item.data_centre not in centres:
                detail = f"unknown data centre {item.data_centre!r}"
                allowed = ", ".join(sorted(centres))
                reader.report_at(f"{prefix}{key}.{i}.data_centre", detail, allowed)
    for key in ("store_url", "vm_list_url"):
        if not getattr(deployment, key).startswith(URL_SCHEMES):
            reader.report_at(prefix + key, "not a URL", "an http:// or https:// URL")


def _check_hosts_and_ports(deployment, reader, prefix):
    used = {}

    def reserve(host, port, key):
        owner = used.setdefault((host, port), key)
        if owner != key:
            detail = f"{host}:{port} is already used by {owner}"
            reader.report_at(key, detail, "a free port")

    for i, peer in enumerate(deployment.entries):
        key = f"{prefix}entries.{i}"
        reserve(peer.host, peer.api_port, f"{key}.api_port")
        reserve(peer.host, peer.internal_port, f"{key}.internal_port")
    for list_key in ("racks", "endpoints"):
        for i, group in enumerate(getattr(deployment, list_key)):
            key = f"{prefix}{list_key}.{i}"
            if group.first_port + group.count - 1 > 65_535:
                reader.report_at(f"{key}.first_port", "the port range ends above 65535")
            for offset in range(group.count):
                reserve(group.host, group.first_port + offset, f"{key}.first_port")
    for list_key in ("entries", "racks", "endpoints"):
        for i, item in enumerate(getattr(deployment, list_key)):
            if not _is_ip_address(item.host):
                detail = f"{item.host!r} is not an IP address"
                reader.report_at(
                    f"{prefix}{list_key}.{i}.host", detail, "an IP address"
                )


def _check_unique(reader, key, names):
    for name, count in collections.Counter(names).items():
        if count > 1:
            reader.report_at(key, f"{name!r} is given {count} times", "unique names")


def _is_ip_address(host):
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
