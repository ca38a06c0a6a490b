"""Keys of the cell in the platform's store."""

__all__ = [
    "CANCEL_PREFIX",
    "FLEET_KEY",
    "INTAKE_PREFIX",
    "JOB_PREFIX",
    "LEADER_KEY",
    "PROGRESS_PREFIX",
    "TERM_KEY",
]

# Written by the process that took the call; watched by the dispatcher.
INTAKE_PREFIX = "wasabipaddle/intake/"
JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCEL_PREFIX = INTAKE_PREFIX + "cancel/"

# Written by the dispatcher, under the condition that it still holds LEADER_KEY.
PROGRESS_PREFIX = "wasabipaddle/progress/"
FLEET_KEY = "wasabipaddle/fleet"

# Held under a lease; the revision of its creation is the epoch.
LEADER_KEY = "wasabipaddle/leader"
# Counts the terms; changes with every new leader.
TERM_KEY = "wasabipaddle/term"
