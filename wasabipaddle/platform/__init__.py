"""Adapter between Wasabipaddle and the platform that it runs on.

This package is the only one that knows the names of the platform's wire format, which
it decodes into the types of `wasabipaddle.jobs` and `wasabipaddle.interfaces`. It makes
no scheduling decisions and keeps no state beyond a call or a connection.
"""

from wasabipaddle.platform.advice import PlatformAdvice
from wasabipaddle.platform.callers import CallerListener
from wasabipaddle.platform.configuration import CONFIGURATION_KEY, decode_configuration
from wasabipaddle.platform.machines import (
    WAVE_PREFIX,
    PlatformMachines,
    decode_wave,
    encode_wave_status,
)
from wasabipaddle.platform.registry import REGISTRY_PREFIX, decode_runner
from wasabipaddle.platform.runner import PlatformRunner
from wasabipaddle.platform.store import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "REGISTRY_PREFIX",
    "WAVE_PREFIX",
    "CallerListener",
    "PlatformAdvice",
    "PlatformMachines",
    "PlatformRunner",
    "PlatformStore",
    "decode_configuration",
    "decode_runner",
    "decode_wave",
    "encode_wave_status",
]
