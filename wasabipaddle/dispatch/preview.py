"""Copy of the state of the dispatcher, on which decisions change no original."""

import copy

__all__ = ["copy_runner", "copy_state"]


def _ignore_event(kind, **values):
    """Take no note of a decision that is not carried out."""


def copy_state(state):
    """Return a copy of a `CellState` to which a job can be added.

    Jobs, steps, runs, runners and what was learned are shared with the original; the
    copy has containers and counters of its own. Only steps of added jobs may be planned
    on it, and a runner has to be replaced by `copy_runner` before it gets a run.
    """
    preview = copy.copy(state)
    preview.journal = _ignore_event
    preview.jobs, preview.ready = dict(state.jobs), dict(state.ready)
    preview.suspects, preview.runners = dict(state.suspects), dict(state.runners)
    # Due occurrences and steps about to open are those of the added job only.
    preview.scheduled, preview.unfinished = {}, {}
    preview.changed_runners, preview.dirty, preview.outbox = {}, {}, []
    preview.quotas = _copy_quotas(state.quotas, preview)
    preview.shares = _copy_shares(state.shares, preview)
    preview.order = _copy_order(state.order, preview)
    return preview


def copy_runner(preview, runner_id):
    """Replace a runner by a copy that may get runs, and return it."""
    runner = preview.runners[runner_id]
    copied = copy.copy(runner)
    copied.runs, copied.step_runs = dict(runner.runs), dict(runner.step_runs)
    copied.changed = preview.changed_runners
    preview.runners[runner_id] = copied
    return copied


def _copy_quotas(quotas, preview):
    copied = copy.copy(quotas)
    copied.state = preview
    copied.in_use = copy.deepcopy(quotas.in_use)
    copied.waits = copy.deepcopy(quotas.waits)
    copied.runs = {name: copy.copy(runs) for name, runs in quotas.runs.items()}
    copied.claims = _copy_claims(quotas.claims, preview)
    return copied


def _copy_claims(claims, preview):
    copied = copy.copy(claims)
    copied.state = preview
    copied.by_workspace = {n: copy.copy(c) for n, c in claims.by_workspace.items()}
    copied.waiting, copied.pauses_s = dict(claims.waiting), dict(claims.pauses_s)
    copied.expired, copied.searched = dict(claims.expired), set(claims.searched)
    copied.again_s = dict(claims.again_s)
    return copied


def _copy_shares(shares, preview):
    copied = copy.copy(shares)
    copied.state = preview
    copied.in_use = copy.deepcopy(shares.in_use)
    copied.accepted_ms = {name: list(t) for name, t in shares.accepted_ms.items()}
    # The entries keep what is decided about them, so they are copied too.
    copied.unranked = [copy.copy(entry) for entry in shares.unranked]
    return copied


def _copy_order(order, preview):
    """Return a copy of a `WorkOrder` for a copied state."""
    copied = copy.copy(order)
    copied.state = preview
    copied.ranks = dict(order.ranks)
    copied.in_use, copied.counted = dict(order.in_use), dict(order.counted)
    return copied
