"""HTTP client of callers, and encoding of runner entries and the configuration."""

import asyncio
import types

import aiohttp
import msgspec

from wasabipaddle.interfaces.callers import CallResult
from wasabipaddle.platform.configuration import CONFIGURATION_KEY
from wasabipaddle.platform.jobs import KEY_HEADER, PHASE_WORDS
from wasabipaddle.platform.registry import REGISTRY_PREFIX
from wasabipaddle.transport.connections import NO_TIMEOUT, ConnectionPool

__all__ = ["JobCaller", "encode_configuration", "encode_runner", "encode_spec"]

MS_PER_S = 1000
KEEPALIVE_S = 60.0
PROBE_TIMEOUT_S = 1.0
PHASE_BY_NAME = {name: phase for phase, name in PHASE_WORDS.items()}


class JobCaller:
    """Caller of a cell that keeps its connections open between calls.

    Parameters
    ----------
    wait_s : float
        Longest wait for a response.
    """

    def __init__(self, *, wait_s):
        self.wait_s = wait_s
        self.pools = {}

    async def submit(self, address, queue, job_id, spec, *, key="") -> CallResult:
        """Submit a job to one process, with a key unless that is empty."""
        data = msgspec.json.encode(encode_spec(spec))
        return await self._call("POST", address, queue, job_id, key, data)

    async def find_phase(self, address, queue, job_id, *, key="") -> CallResult:
        """Ask one process for the phase of a job."""
        return await self._call("GET", address, queue, job_id, key)

    async def count_waiting(self, address, queue, *, key="") -> CallResult:
        """Ask one process for the number of waiting jobs of a queue."""
        return await self._call("GET", address, queue, "", key)

    async def cancel(self, address, queue, job_id, *, key="") -> CallResult:
        """Ask one process to cancel a job."""
        return await self._call("DELETE", address, queue, job_id, key)

    async def is_ready(self, address) -> bool:
        """Return whether the readiness probe of a process succeeds."""
        try:
            url = f"http://{address}/readiness"
            async with (
                self._find_pool(address).session(timeout_s=PROBE_TIMEOUT_S) as session,
                session.get(url, timeout=NO_TIMEOUT) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _call(self, method, address, queue, job_id, key, data=None):
        headers = {
            "Host": queue.host,
            "Deadline-Ms": str(int(self.wait_s * MS_PER_S)),
        }
        if key:
            headers[KEY_HEADER] = key
        url = f"http://{address}{queue.prefix}{job_id}"
        try:
            async with (
                self._find_pool(address).session(timeout_s=self.wait_s) as session,
                session.request(
                    method, url, data=data, headers=headers, timeout=NO_TIMEOUT
                ) as response,
            ):
                raw = await response.read()
                body = {}
                if method == "GET" and response.status == 200:
                    body = msgspec.json.decode(raw)
                return CallResult(
                    status=response.status,
                    phase=PHASE_BY_NAME.get(body.get("state")),
                    waiting=body.get("waiting"),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return CallResult(sent=False, detail=repr(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CallResult(detail=repr(error))

    async def close(self):
        """Close the connections."""
        await asyncio.gather(*(pool.close() for pool in self.pools.values()))

    def _find_pool(self, address):
        if address not in self.pools:
            self.pools[address] = ConnectionPool(open_session=_open_session)
        return self.pools[address]


def _open_session():
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    )


def encode_spec(spec):
    """Return the body, not yet in JSON, with which a caller submits a job."""
    body = {"spec": spec.payload, "steps": [_encode_step(step) for step in spec.steps]}
    if spec.scheduled:
        body["repeat_count"] = spec.occurrences
        body["start_at_ms"] = spec.first_due_ms
        body["interval_ms"] = spec.interval_ms
    return body


def _encode_step(step):
    body = {
        "count": step.count,
        "cpu": step.cpu,
        "mem_mb": step.memory_mb,
        "gpu": step.gpus,
        "estimate_ms": int(step.estimate_s * MS_PER_S),
        "after": list(step.after),
        "gang": step.gang,
        "same_rack": step.same_rack,
        "requires": step.required_label,
        "affinity": step.preferred_rack,
        "max_per_server": step.max_per_runner,
        "speculative": step.speculative,
        "long_running": step.lasting,
        "checkpointing": step.checkpoints,
        "image": step.image,
        "target_ms": step.target_latency_ms,
        "fills": step.opportunistic,
    }
    body = {name: value for name, value in body.items() if value}
    if step.disruption_allowance >= 0:
        body["may_miss"] = step.disruption_allowance
    return body


def encode_runner(entry, sequence):
    """Return the key and value of a runner's entry in the registry."""
    value = {
        "service": entry.pool,
        "address": entry.address,
        "zone": entry.data_centre,
        "state": "draining" if entry.draining else "ready",
        "capacity": _encode_capacity(entry.capacity),
        "labels": list(entry.labels),
        "born": entry.incarnation,
        "seq": sequence,
    }
    return REGISTRY_PREFIX + entry.id, msgspec.json.encode(value)


def encode_configuration(configuration, *, keys=types.MappingProxyType({})):
    """Return the key and value of the operator's configuration.

    Parameters
    ----------
    keys : dict of str to list of str
        Keys of the callers by the name of their workspace.
    """
    value = {
        "version": configuration.version,
        "routes": [_encode_route(queue) for queue in configuration.queues],
        "services": [
            {"name": pool.name, "enforces_capacity": pool.enforces_capacity}
            for pool in configuration.pools.values()
        ],
        "limits": {
            "max_body_bytes": configuration.limits.max_body_bytes,
            "max_header_bytes": configuration.limits.max_header_bytes,
            "header_timeout_ms": configuration.limits.header_s * MS_PER_S,
            "idle_timeout_ms": configuration.limits.idle_s * MS_PER_S,
        },
        "tenants": [
            _encode_workspace(workspace, keys.get(workspace.name, ()))
            for workspace in configuration.workspaces.values()
        ],
    }
    return CONFIGURATION_KEY, msgspec.json.encode(value)


def _encode_workspace(workspace, keys):
    return {
        "name": workspace.name,
        "api_keys": list(keys),
        "weight": workspace.weight,
        "cap": _encode_capacity(workspace.quota),
    }


def _encode_capacity(capacity):
    return {"cpu": capacity.cpu, "mem_mb": capacity.memory_mb, "gpu": capacity.gpus}


def _encode_route(queue):
    route = {
        "name": queue.name,
        "host": queue.host,
        "prefix": queue.prefix,
        "service": queue.pool,
        "priority": queue.priority,
        "max_attempts": queue.max_attempts,
        "stretch": queue.stretch,
        "target_duration_ms": queue.target_s * MS_PER_S,
        "public": queue.public,
    }
    if queue.advice is not None:
        route["advice"] = {
            "decide_ms": queue.advice.base_s * MS_PER_S,
            "each_ms": queue.advice.per_runner_s * MS_PER_S,
            "valid_ms": queue.advice.valid_s * MS_PER_S,
        }
    return route
