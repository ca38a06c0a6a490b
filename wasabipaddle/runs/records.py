"""Conversions between journal records, documents and work for the placer."""

from wasabipaddle.documents import Quota, Resources, ServiceDocument
from wasabipaddle.journal import RunAccepted, RunEnded
from wasabipaddle.placement import Work

__all__ = ["accepted_record", "document_of", "ended_record", "work_of"]

MS_PER_S = 1000


def accepted_record(
    *, run, document, key, payload, accepted_ms, revision
) -> RunAccepted:
    """Return the journal record of an accepted run."""
    return RunAccepted(
        run=run,
        service=document.service,
        team=document.team,
        key=key,
        payload=payload,
        accepted_ms=accepted_ms,
        revision=revision,
        kind=document.kind,
        urgency=document.urgency,
        needs=document.needs,
        placement=document.placement,
        share=document.share,
        policy=document.run,
    )


def document_of(record) -> ServiceDocument:
    """Return the document of an accepted run from its `RunAccepted` record.

    The record has no quota and no request policy; these have their default values.
    """
    return ServiceDocument(
        service=record.service,
        team=record.team,
        kind=record.kind,
        urgency=record.urgency,
        needs=record.needs,
        placement=record.placement,
        share=record.share,
        run=record.policy,
    )


def work_of(run, *, quota=None) -> Work:
    """Return the work of a run for the placer.

    Parameters
    ----------
    run : Run
        The run, with the document as it was accepted.
    quota : Quota or None
        Current quota of the service; None for no quota.
    """
    document = run.document
    limit = (quota or Quota()).resources
    return Work(
        run=run.run,
        service=document.service,
        team=document.team,
        kind=document.kind,
        urgency=document.urgency,
        needs=document.needs or Resources(),
        tasks=document.run.tasks,
        weight=document.share.weight,
        guaranteed=document.share.guaranteed,
        quota=limit,
        placement=document.placement,
        expected_s=document.run.expected_s,
        max_attempts=document.run.max_attempts,
        max_preemptions=document.run.max_preemptions,
    )


def ended_record(entry, outcome, ended_ms, reason) -> RunEnded:
    """Return the journal record of a run that has ended."""
    retention_ms = int(entry.document.run.answer_retention_s * MS_PER_S)
    return RunEnded(
        run=entry.run,
        outcome=outcome,
        ended_ms=ended_ms,
        keep_until_ms=ended_ms + retention_ms,
        reason=reason,
    )
