"""Keys under which the cell keeps its records in the platform's store."""

__all__ = [
    "CANCEL_PREFIX",
    "FLEET_KEY",
    "INTAKE_PREFIX",
    "JOB_PREFIX",
    "LEADER_KEY",
    "PROGRESS_PREFIX",
    "REFUSAL_PREFIX",
    "TERM_KEY",
    "WAVE_RECORD_PREFIX",
]

# Written by the process that received the call, or by a peer on its behalf; watched
# by the dispatcher.
INTAKE_PREFIX = "wasabipaddle/intake/"
JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCEL_PREFIX = INTAKE_PREFIX + "cancel/"

# Written by the process that has refused a job or found none to cancel; attached to a
# lease.
REFUSAL_PREFIX = "wasabipaddle/refused/"

# Written by the dispatcher, on the condition that it still holds LEADER_KEY.
PROGRESS_PREFIX = "wasabipaddle/progress/"
FLEET_KEY = "wasabipaddle/fleet"
WAVE_RECORD_PREFIX = "wasabipaddle/maintenance/"

# Attached to a lease; the store revision of its last write is the epoch.
LEADER_KEY = "wasabipaddle/leader"
# Number of the current term; incremented whenever a campaign succeeds, also when the
# previous leader wins again.
TERM_KEY = "wasabipaddle/term"
