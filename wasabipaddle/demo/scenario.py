"""Fixed sequence of faults in a demo."""

import asyncio

from wasabipaddle.interfaces import VmStatus

__all__ = ["Scenario"]

DRAIN_LIST_S = 4.0


class Scenario:
    """Injects faults while the callers send load.

    Parameters
    ----------
    processes : ProcessGroup
        Entry processes of the deployment.
    control : StandinControl
        Client of the control interfaces of the stand-ins.
    callers : Callers
        Callers that send the load.
    deployment : Deployment
        Deployment whose processes, endpoints and data centres fail.
    documents : dict of str to str
        YAML text of the documents by service.
    log_progress : callable
        Function that prints a line of progress.
    """

    def __init__(
        self, *, processes, control, callers, deployment, documents, log_progress
    ):
        self.processes = processes
        self.control = control
        self.callers = callers
        self.deployment = deployment
        self.documents = documents
        self.log_progress = log_progress
        self.problems = []

    async def run(self):
        """Inject the faults one after the other."""
        first, second, third = (c.name for c in self.deployment.data_centres)
        await self._after(0.5, self._edit_document())
        await self._after(0.5, self._kill(self._entry(first, 0)))
        await self._after(1.0, self._pause(self._entry(second, 0), 3.5))
        await self._after(0.0, self._drain_endpoint(first))
        await self._after(0.5, self._store_outage(2.0))
        await self._after(0.5, self._isolate(third, 2.5))
        await self._after(0.0, self._drain_entry(self._entry(first, 1)))

    async def _after(self, delay_s, step):
        await asyncio.sleep(delay_s)
        await step

    def _entry(self, data_centre, index):
        names = [
            e.name for e in self.deployment.entries if e.data_centre == data_centre
        ]
        return names[index]

    async def _edit_document(self):
        service, text = next(iter(sorted(self.documents.items())))
        self.log_progress(f"edit the document of {service}")
        entity_tag = await self.callers.read_entity_tag(service)
        status, body = await self.callers.apply(
            service, text + "# edited\n", entity_tag=entity_tag
        )
        if status not in (200, 201):
            self.problems.append(f"edit of {service} failed: {body}")

    async def _kill(self, name):
        self.log_progress(f"kill entry process {name}")
        self.processes.kill(name)
        self.callers.exclude(name)
        await self.control.set_vm_status(name, VmStatus.GONE)

    async def _pause(self, name, duration_s):
        self.log_progress(
            f"pause entry process {name} for {duration_s:g} s, past its lease"
        )
        self.processes.pause(name)
        self.callers.exclude(name)
        await asyncio.sleep(duration_s)
        self.processes.resume(name)
        self.callers.include(name)

    async def _drain_endpoint(self, data_centre):
        group = next(
            g for g in self.deployment.endpoints if g.data_centre == data_centre
        )
        name = f"{group.rack}-{group.pool}-1"
        self.log_progress(f"drain endpoint {name}")
        await self.control.set_vm_status(name, VmStatus.LEAVING)
        await self.control.set_faults(name, draining=True)

    async def _store_outage(self, duration_s):
        self.log_progress(f"take the store down for {duration_s:g} s")
        await self.control.set_faults("store", down=True)
        await asyncio.sleep(duration_s)
        await self.control.set_faults("store", down=False)

    async def _isolate(self, data_centre, duration_s):
        self.log_progress(f"cut off data centre {data_centre} for {duration_s:g} s")
        await self.control.change_link(cut=(data_centre,))
        await asyncio.sleep(duration_s)
        self.log_progress(f"reconnect data centre {data_centre}")
        await self.control.change_link(heal=True)

    async def _drain_entry(self, name):
        self.log_progress(f"shut down entry process {name} gracefully")
        self.callers.draining.add(name)
        self.callers.exclude(name)
        if not await self.processes.drain(name):
            self.problems.append(f"{name} did not shut down cleanly")
