"""Role `platform`: clients of the platform, of workers and of endpoints."""

from wasabipaddle.interfaces.http_endpoint import HttpEndpoint
from wasabipaddle.interfaces.http_store import HttpStore
from wasabipaddle.interfaces.http_vms import HttpVmList
from wasabipaddle.interfaces.http_worker import HttpWorker
from wasabipaddle.kernel import Plugin

__all__ = ["PlatformPlugin"]


class PlatformPlugin(Plugin):
    """Creates HTTP clients. Another platform needs another plug-in of this name.

    Attributes
    ----------
    store : Store
        The platform's store.
    vms : VmList
        The platform's list of VMs.
    """

    name = "platform"

    def __init__(self, *, context):
        super().__init__(context=context)
        settings = context.settings
        self.store = HttpStore(
            url=settings.deployment.store_url,
            client=settings.process,
            timeout_s=settings.store.timeout_s,
        )
        self.vms = HttpVmList(url=settings.deployment.vm_list_url)

    def connect_worker(self, entry):
        """Return a client of a worker.

        Parameters
        ----------
        entry : VmEntry
            The worker in the VM list.
        """
        return HttpWorker(host=entry.host, port=entry.port, vm=entry.vm)

    def connect_endpoint(self, grant):
        """Return a client of the endpoint that a `Grant` names."""
        return HttpEndpoint(
            host=grant.host,
            port=grant.port,
            vm=grant.endpoint,
            connections=grant.connections,
            progress_s=self.context.settings.routing.progress_s,
        )

    async def stop(self):
        """Close the connections to the platform."""
        await self.store.close()
        await self.vms.close()
