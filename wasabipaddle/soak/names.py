"""Names of the faults and planned operations of a soak test."""

__all__ = [
    "ADDED_FAULTS",
    "ALL_FAULTS",
    "BASIC_DISRUPTIONS",
    "BASIC_FAULTS",
    "BASIC_OPERATIONS",
    "SINGLE_FAULTS",
    "WATCHED_FAULTS",
]

BASIC_DISRUPTIONS = (
    "store_down",
    "store_slow",
    "store_loses_answers",
    "store_writes_late",
    "store_refuses_one",
    "store_forgets_history",
    "leader_key_revoked",
    "store_cut",
    "store_cut_one_way",
    "process_cut",
    "process_silent",
    "process_reset",
    "process_delayed",
    "process_killed",
    "process_paused",
    "process_reloaded",
    "all_killed",
    "runner_crashed",
    "runner_cut",
    "runner_cut_one_way",
    "runner_silent",
    "runner_orders_late",
    "runner_answers_lost",
    "runner_failing",
    "runner_stalled",
    "runner_slow",
)
BASIC_OPERATIONS = (
    "process_stopped",
    "processes_restarted_in_turn",
    "runner_replaced",
    "configured",
)
BASIC_FAULTS = BASIC_DISRUPTIONS + BASIC_OPERATIONS
# Faults and operations with modules of their own.
ADDED_FAULTS = (
    "partition",
    "channels_silent",
    "ends_wait",
    "replies_overtake",
    "lists_read_in_parts",
    "runner_restarted",
    "runner_frozen",
    "odd_entries",
    "processes_replaced",
    "runners_replaced",
    "keys_removed",
    "versions_refused",
)
ALL_FAULTS = BASIC_FAULTS + ADDED_FAULTS
# Faults that never overlap with themselves and come in no series: each takes many
# seconds.
SINGLE_FAULTS = frozenset(
    {
        "channels_silent",
        "partition",
        "ends_wait",
        "odd_entries",
        "processes_replaced",
        "runners_replaced",
        "keys_removed",
        "versions_refused",
    }
)
# Faults that disturb the cell for a moment only and wait for the effect then.
WATCHED_FAULTS = frozenset({"channels_silent", "odd_entries"})
