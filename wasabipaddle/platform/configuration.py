"""Decoding of the configuration that the operator stores in the platform."""

import msgspec
from result import Err, Ok, Result

from wasabipaddle.exceptions import ErrorKind, Failure
from wasabipaddle.jobs import AdvicePolicy, CellConfiguration, Limits, Pool, Queue
from wasabipaddle.platform.decoding import DECODING_ERRORS

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

CONFIGURATION_KEY = "op/config"
MS_PER_S = 1000


def decode_configuration(data) -> Result[CellConfiguration, Failure]:
    """Return the configuration in a stored value.

    A value that is not valid gives an `Err` of kind `invalid_document`.
    """
    try:
        body = msgspec.json.decode(data)
        limits = body.get("limits") or {}
        return Ok(
            CellConfiguration(
                version=body["version"],
                queues=tuple(
                    _decode_queue(route) for route in body.get("routes") or ()
                ),
                pools={
                    pool["name"]: _decode_pool(pool)
                    for pool in body.get("services") or ()
                },
                limits=Limits(
                    max_body_bytes=limits.get("max_body_bytes", 262_144),
                    idle_s=limits.get("idle_timeout_ms", 15_000) / MS_PER_S,
                ),
            )
        )
    except DECODING_ERRORS as error:
        detail = f"the configuration cannot be decoded: {type(error).__name__} {error}"
        return Err(Failure(kind=ErrorKind.INVALID_DOCUMENT, detail=detail))


def _decode_queue(route):
    advice = route.get("advice")
    return Queue(
        name=route["name"],
        host=route.get("host", ""),
        prefix=route["prefix"],
        pool=route.get("service", ""),
        priority=route.get("priority", 0),
        max_attempts=route.get("max_attempts", 1) or 1,
        stretch=route.get("stretch", 1.0) or 1.0,
        target_s=(route.get("target_duration_ms") or 0) / MS_PER_S,
        advice=_decode_advice_policy(advice) if advice else None,
    )


def _decode_advice_policy(advice):
    return AdvicePolicy(
        base_s=advice.get("decide_ms", 0) / MS_PER_S,
        per_runner_s=advice.get("each_ms", 0) / MS_PER_S,
        valid_s=advice.get("valid_ms", 0) / MS_PER_S,
    )


def _decode_pool(pool):
    return Pool(
        name=pool["name"],
        enforces_capacity=bool(pool.get("enforces_capacity")),
        spare=bool(pool.get("spare")),
    )
