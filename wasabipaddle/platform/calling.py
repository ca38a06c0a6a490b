"""What callers, runners and the operator write on the platform's wire."""

import aiohttp
import attrs
import msgspec

from wasabipaddle.platform.configuration import CONFIGURATION_KEY
from wasabipaddle.platform.jobs import PHASE_WORDS
from wasabipaddle.platform.registry import REGISTRY_PREFIX

__all__ = ["CallerAnswer", "JobCaller", "encode_configuration", "encode_runner"]

MS_PER_S = 1000
PHASES = {word: phase for phase, word in PHASE_WORDS.items()}


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """What a caller learns from one call.

    Parameters
    ----------
    status : int
        Status of the answer, 0 if there was none.
    phase : JobPhase or None
        State of the job, where the answer tells it.
    sent : bool
        Whether the call may have reached a process.
    detail : str
        Why there was no answer.
    """

    status: int = 0
    phase: object = None
    sent: bool = True
    detail: str = ""


class JobCaller:
    """Caller that keeps its connections open between calls.

    Parameters
    ----------
    wait_s : float
        Time that the caller waits for an answer.
    """

    def __init__(self, *, wait_s):
        self.wait_s = wait_s
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        )

    async def submit(self, address, queue, job_id, spec) -> CallerAnswer:
        """Submit a job at one process."""
        data = msgspec.json.encode(_spec(spec))
        return await self._call("POST", address, queue, job_id, data)

    async def find_phase(self, address, queue, job_id) -> CallerAnswer:
        """Ask one process for the state of a job."""
        return await self._call("GET", address, queue, job_id)

    async def cancel(self, address, queue, job_id) -> CallerAnswer:
        """Cancel a job at one process."""
        return await self._call("DELETE", address, queue, job_id)

    async def is_ready(self, address) -> bool:
        """Return whether a process says that it takes callers."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"http://{address}/readiness"
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _call(self, method, address, queue, job_id, data=None):
        headers = {
            "Host": queue.host,
            "Deadline-Ms": str(int(self.wait_s * MS_PER_S)),
        }
        url = f"http://{address}{queue.prefix}{job_id}"
        timeout = aiohttp.ClientTimeout(total=self.wait_s)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                raw = await response.read()
                phase = None
                if method == "GET" and response.status == 200:
                    phase = PHASES[msgspec.json.decode(raw)["state"]]
                return CallerAnswer(status=response.status, phase=phase)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return CallerAnswer(sent=False, detail=repr(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CallerAnswer(detail=repr(error))

    async def close(self):
        """Close the connections."""
        await self.session.close()


def _spec(spec):
    body = {"spec": spec.payload, "steps": [_step(step) for step in spec.steps]}
    if spec.scheduled:
        body["repeat_count"] = spec.occurrences
        body["start_at_ms"] = spec.first_due_ms
        body["interval_ms"] = spec.interval_ms
    return body


def _step(step):
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
    """Return the key and value of a runner in the registry."""
    room = entry.capacity
    value = {
        "service": entry.pool,
        "address": entry.address,
        "zone": entry.data_centre,
        "state": "draining" if entry.draining else "ready",
        "capacity": {"cpu": room.cpu, "mem_mb": room.memory_mb, "gpu": room.gpus},
        "labels": list(entry.labels),
        "born": entry.incarnation,
        "seq": sequence,
    }
    return REGISTRY_PREFIX + entry.id, msgspec.json.encode(value)


def encode_configuration(configuration):
    """Return the key and value of the operator's configuration."""
    value = {
        "version": configuration.version,
        "routes": [_route(queue) for queue in configuration.queues],
        "services": [
            {"name": pool.name, "enforces_capacity": pool.enforces_capacity}
            for pool in configuration.pools.values()
        ],
        "limits": {"max_body_bytes": configuration.limits.max_body_bytes},
    }
    return CONFIGURATION_KEY, msgspec.json.encode(value)


def _route(queue):
    route = {
        "name": queue.name,
        "host": queue.host,
        "prefix": queue.prefix,
        "service": queue.pool,
        "priority": queue.priority,
        "max_attempts": queue.max_attempts,
        "stretch": queue.stretch,
        "target_duration_ms": queue.target_s * MS_PER_S,
    }
    if queue.advice is not None:
        route["advice"] = {
            "decide_ms": queue.advice.base_s * MS_PER_S,
            "each_ms": queue.advice.per_runner_s * MS_PER_S,
            "valid_ms": queue.advice.valid_s * MS_PER_S,
        }
    return route
