"""Role `cluster`: member list for operators, readiness after the first documents."""

from result import Ok

from wasabipaddle.kernel import Mailbox, Plugin, ReadinessChanged
from wasabipaddle.messages import ClusterView, QueryCluster
from wasabipaddle.serve.tasks import TaskSet

__all__ = ["ClusterPlugin"]


class ClusterPlugin(Plugin):
    """Replies to `QueryCluster` and delays readiness until documents are loaded."""

    name = "cluster"
    requires = ("membership", "relay")

    def __init__(self, *, context):
        super().__init__(context=context)
        self.membership = context.plugins["membership"]
        self.relay = context.plugins["relay"]
        self.mailbox = Mailbox()
        self.tasks = TaskSet()

    async def start(self):
        """Start handling `QueryCluster` and waiting for the first documents."""
        self.context.bus.register(self.mailbox, QueryCluster)
        self.tasks.spawn(self._read_mailbox())
        self.tasks.spawn(self._wait_for_documents())

    async def stop(self):
        """Stop the tasks."""
        await self.tasks.close()

    async def _read_mailbox(self):
        while True:
            envelope = await self.mailbox.receive()
            now = self.membership.now()
            members = tuple(self.membership.table.views(now))
            envelope.answer(Ok(ClusterView(members=members)))

    async def _wait_for_documents(self):
        waiting = ReadinessChanged(role=self.name, reason="no documents read yet")
        self.context.bus.publish(waiting)
        await self.relay.loaded.wait()
        self.context.bus.publish(ReadinessChanged(role=self.name))
