"""Concurrent callers of a demo, which record the answers that they receive."""

import asyncio
import collections
import json

import aiohttp

from wasabipaddle.documents import ServiceKind
from wasabipaddle.standins import CutOffCause, Ledger

__all__ = ["Callers"]

REQUEST_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 12.0
RETRY_PAUSE_S = 0.2
LONG_POLL_S = 5
# After this time, a submission whose outcome is still unknown counts as "never
# settled", and an accepted run that is not known to have ended as "not ended".
END_TIMEOUT_S = 25.0


class Callers:
    """Sends requests, runs and cancellations to the entry processes.

    Parameters
    ----------
    layout : Layout
        Files and addresses of the demo.
    documents : sequence of ServiceDocument
        Documents of the services to call.
    random : random.Random
        Random numbers that determine the load.

    Attributes
    ----------
    ledger : Ledger
        Accepted and cancelled work, and requests that were cut off.
    refused : set of str
        Work that was refused with the outcome "not run".
    outcomes : collections.Counter
        Number of answers and failures by kind.
    """

    def __init__(self, *, layout, documents, random):
        self.layout = layout
        self.documents = documents
        self.random = random
        self.ledger = Ledger()
        self.refused = set()
        self.outcomes = collections.Counter()
        self.available = {e.name: e for e in layout.deployment.entries}
        self.draining = set()
        self.session = None
        self.runs = {}
        self.service_runs = []
        self.cancelled = set()
        self.tasks = set()
        self.counter = 0

    async def open(self):
        """Open the HTTP session."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)

    async def close(self):
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    def exclude(self, name):
        """Send no more calls to a process, as a load balancer would."""
        self.available.pop(name, None)

    def include(self, name):
        """Send calls to a process again after its exclusion."""
        entry = next(e for e in self.layout.deployment.entries if e.name == name)
        self.available[name] = entry

    # Load

    async def send_requests(self, deadline, *, period_s):
        """Call services of kind `request` until the loop time `deadline`."""
        services = [d for d in self.documents if d.kind is ServiceKind.REQUEST]
        while asyncio.get_running_loop().time() < deadline:
            self._spawn(self._request(self.random.choice(services)))
            await asyncio.sleep(self.random.expovariate(1 / period_s))

    async def submit_runs(self, deadline, *, period_s):
        """Submit batch and gang runs until the loop time `deadline`."""
        kinds = (ServiceKind.BATCH, ServiceKind.GANG)
        services = [d for d in self.documents if d.kind in kinds]
        while asyncio.get_running_loop().time() < deadline:
            self._spawn(self._run(self.random.choice(services)))
            await asyncio.sleep(self.random.expovariate(1 / period_s))

    async def cancel_runs(self, deadline, *, period_s):
        """Cancel randomly chosen runs until the loop time `deadline`."""
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.random.expovariate(1 / period_s))
            candidates = [k for k in self.runs if k not in self.cancelled]
            if candidates:
                self._spawn(self._cancel(self.random.choice(candidates)))

    async def start_services(self):
        """Start one run of each long-running service."""
        for document in self.documents:
            if document.kind is not ServiceKind.SERVICE:
                continue
            key = f"{document.service}-open"
            payload = json.dumps({"work": key, "run_s": None})
            view = await self._submit(document, key, payload)
            if view is not None:
                self._record_accepted(document, key)
                self.service_runs.append((document, key, view["run"]))

    async def stop_services(self) -> list[str]:
        """Check that the long-running services run, then stop them gracefully.

        Returns
        -------
        list of str
            One line for each service that did not run with all its tasks.
        """
        problems = []
        for document, key, run in self.service_runs:
            path = f"/v1/runs/{run}"
            _, view = await self._call_api("GET", path)
            running = [t for t in view.get("tasks", ()) if t["phase"] == "running"]
            if len(running) != document.run.tasks:
                problems.append(
                    f"{key}: unexpected number of running tasks: {len(running)}"
                )
            await self._call_api("POST", f"{path}/stop")
            await self._wait_for_end(document, key, run)
        return problems

    async def finish(self):
        """Wait until every call that was sent has finished."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    # Requests

    async def _request(self, document):
        self.counter += 1
        work = f"request-{self.counter}"
        service_s = round(self.random.uniform(0.02, 0.3), 3)
        body = json.dumps(
            {
                "work": work,
                "service_s": service_s,
                "answer_bytes": self.random.choice([100, 3_000, 200_000]),
                "idempotent": document.request.idempotent,
            }
        )
        entry = self._choose_entry()
        url = f"{_base_url(entry)}/v1/services/{document.service}/requests"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self.session.post(url, data=body, timeout=timeout) as response:
                content = await response.read()
                self._record_answer(work, response, content)
        except (aiohttp.ClientError, TimeoutError):
            self.outcomes["request broken"] += 1
            if entry.name in self.draining:
                self._record_cut_off(work, entry)

    def _record_answer(self, work, response, content):
        if response.status == 200:
            self.outcomes["request answered"] += 1
            self.ledger.accept(work)
            return
        failure = json.loads(content)
        self.outcomes[f"request {failure['kind']}"] += 1
        if failure["outcome"] == "not_run":
            self.refused.add(work)

    def _record_cut_off(self, work, entry):
        self.ledger.cut_off(
            work,
            place=entry.name,
            cause=CutOffCause.PLANNED_STOP,
            time_s=asyncio.get_running_loop().time(),
        )

    # Runs

    async def _run(self, document):
        self.counter += 1
        key = f"{document.service}-{self.counter}"
        payload = json.dumps({"work": key, "run_s": self.random.choice([0.5, 1, 2, 4])})
        view = await self._submit(document, key, payload)
        if view is None:
            return
        self._record_accepted(document, key)
        self.runs[key] = view["run"]
        await self._wait_for_end(document, key, view["run"])
        del self.runs[key]

    def _record_accepted(self, document, key):
        for index in range(document.run.tasks):
            self.ledger.accept(f"{key}/{index}")

    async def _submit(self, document, key, payload):
        """Submit a run, and retry with the same key while the outcome is unknown.

        Returns
        -------
        dict or None
            View of the accepted run; None if the run was refused or the outcome of the
            submission is still unknown after `END_TIMEOUT_S`.
        """
        path = f"/v1/services/{document.service}/runs"
        headers = {"Idempotency-Key": key}
        in_doubt = False
        give_up_at = asyncio.get_running_loop().time() + END_TIMEOUT_S
        while asyncio.get_running_loop().time() < give_up_at:
            status, body = await self._call_api(
                "POST", path, data=payload, headers=headers
            )
            if status == 202:
                self.outcomes["run accepted"] += 1
                return body
            self.outcomes[f"run {body['kind']}"] += 1
            if body["outcome"] == "not_run" and not in_doubt:
                for index in range(document.run.tasks):
                    self.refused.add(f"{key}/{index}")
                return None
            in_doubt = True
            await asyncio.sleep(RETRY_PAUSE_S)
        self.outcomes["run never settled"] += 1
        return None

    async def _wait_for_end(self, document, key, run):
        path = f"/v1/runs/{run}?wait={LONG_POLL_S}s"
        give_up_at = asyncio.get_running_loop().time() + END_TIMEOUT_S
        while asyncio.get_running_loop().time() < give_up_at:
            status, view = await self._call_api("GET", path)
            if status == 200 and view["state"] == "ended":
                outcome = view["outcome"]
                self.outcomes[f"run {outcome}"] += 1
                if outcome in ("cancelled", "stopped"):
                    self._record_cancelled(document, key)
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.outcomes["run not ended"] += 1

    def _record_cancelled(self, document, key):
        for index in range(document.run.tasks):
            self.ledger.cancel(f"{key}/{index}")

    async def _cancel(self, key):
        self.cancelled.add(key)
        run = self.runs.get(key)
        if run is not None:
            await self._call_api("POST", f"/v1/runs/{run}/cancel")

    # Calls

    async def apply(self, service, text, *, entity_tag=None):
        """Create a document, or replace the revision with the given entity tag."""
        headers = {"If-None-Match": "*"}
        if entity_tag is not None:
            headers = {"If-Match": entity_tag}
        path = f"/v1/services/{service}"
        return await self._call_api("PUT", path, data=text, headers=headers)

    async def documents_applied(self, services) -> bool:
        """Return whether every available process has the documents of `services`."""
        for entry in list(self.available.values()):
            async with self.session.get(f"{_base_url(entry)}/v1/services") as response:
                body = json.loads(await response.read())
            known = {s["service"] for s in body["services"]}
            if not known.issuperset(services):
                return False
        return True

    async def read_entity_tag(self, service):
        """Return the entity tag of a document; None if it cannot be read."""
        entry = self._choose_entry()
        url = f"{_base_url(entry)}/v1/services/{service}"
        try:
            async with self.session.get(url) as response:
                return response.headers.get("ETag")
        except aiohttp.ClientError:
            return None

    async def _call_api(self, method, path, **options):
        entry = self._choose_entry()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.request(
                method, _base_url(entry) + path, timeout=timeout, **options
            ) as response:
                return response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            kind = f"call broken ({type(error).__name__})"
            return 0, {"kind": kind, "outcome": "unknown"}

    def _choose_entry(self):
        return self.random.choice(list(self.available.values()))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _base_url(entry):
    return f"http://{entry.host}:{entry.api_port}"
