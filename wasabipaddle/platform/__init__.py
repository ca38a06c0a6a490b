"""Translation between the product and the users' platform.

Every name of the platform's wire is decoded here, once, into the product's types.
Nothing here decides, and nothing is kept beyond a call or a connection.
"""

from wasabipaddle.platform.advice import PlatformAdvice
from wasabipaddle.platform.callers import CallerListener
from wasabipaddle.platform.configuration import CONFIGURATION_KEY, decode_configuration
from wasabipaddle.platform.registry import REGISTRY_PREFIX, decode_runner
from wasabipaddle.platform.runner import PlatformRunner
from wasabipaddle.platform.store import PlatformStore

__all__ = [
    "CONFIGURATION_KEY",
    "REGISTRY_PREFIX",
    "CallerListener",
    "PlatformAdvice",
    "PlatformRunner",
    "PlatformStore",
    "decode_configuration",
    "decode_runner",
]
