"""Command `fault`: inject faults into the stand-ins of a playground."""

import os

from wasabipaddle.commands.action import Action, UsageError
from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.interfaces import VmStatus
from wasabipaddle.standins.control import StandinControl

__all__ = ["fault_action"]

CONTROL_VARIABLE = "WASABIPADDLE_CONTROL"
LINK = "link"
LINK_LIST_KEYS = ("cut", "cut_regions", "silence")
HEAL = "heal"
STATUS = "status"
BOOLEANS = {"true": True, "false": False}


def fault_action(*, target, changes, control) -> Action:
    """Return the action that changes the faults of one target.

    Parameters
    ----------
    target : str
        `store`, `vm_list`, `link` or the name of a VM.
    changes : sequence of str
        `KEY=VALUE` pairs. The keys are the fields of `StoreFaults`, `VmListFaults`,
        `WorkerFaults` or `EndpointFaults`. A VM also takes `status`, its status in the
        VM list, and `leave`; an endpoint also takes `silence_connections`. The link
        takes `cut` (places), `cut_regions` (two regions) and `silence` (two places),
        each as comma-separated names, and `heal`.
    control : str
        Comma-separated control URLs of the stand-ins; empty uses the environment
        variable `WASABIPADDLE_CONTROL`.
    """
    text = control or os.environ.get(CONTROL_VARIABLE, "")
    urls = tuple(url for url in text.split(",") if url)
    if not urls or not all(u.startswith("http://") for u in urls):
        raise UsageError(
            f"give control URLs that start with http:// in --control or in "
            f"{CONTROL_VARIABLE}"
        )
    if not changes:
        raise UsageError("give at least one change as KEY=VALUE")
    values = dict(_parse(change) for change in changes)
    status = _pop_vm_status(values) if target != LINK else None
    link = _link_fields(values) if target == LINK else None

    async def run():
        client = StandinControl(urls=urls)
        try:
            if link is not None:
                _raise_on_error(await client.change_link(**link))
            if status is not None:
                _raise_on_error(await client.set_vm_status(target, status))
            if link is None and values:
                _raise_on_error(await client.set_faults(target, **values))
        finally:
            await client.close()
        print(f"{target}: {', '.join(changes)}")

    return Action(run=run)


def _parse(change):
    key, equals, text = change.partition("=")
    if not key or not equals:
        raise UsageError(f"not KEY=VALUE: {change}")
    if text in BOOLEANS:
        return key, BOOLEANS[text]
    try:
        return key, float(text)
    except ValueError:
        return key, text


def _pop_vm_status(values):
    """Remove the VM status from the changes and return it; None if not given."""
    if STATUS not in values:
        return None
    try:
        return VmStatus(values.pop(STATUS))
    except ValueError as error:
        allowed = ", ".join(s.value for s in VmStatus)
        raise UsageError(f"{STATUS} is one of {allowed}") from error


def _link_fields(values):
    fields = {}
    for key, value in values.items():
        if key == HEAL and isinstance(value, bool):
            fields[key] = value
        elif key in LINK_LIST_KEYS and isinstance(value, str) and value:
            fields[key] = tuple(value.split(","))
        else:
            names = ", ".join(f"{name}=NAME,..." for name in LINK_LIST_KEYS)
            raise UsageError(f"the link takes {names} and {HEAL}=true")
    return fields


def _raise_on_error(result):
    if result.is_err():
        raise WasabipaddleError(result.unwrap_err())
