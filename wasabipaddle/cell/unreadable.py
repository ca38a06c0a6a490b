"""Records of the store that cannot be decoded."""

import functools

__all__ = ["UnreadableRecords"]

# Number of keys after which further ones are only counted.
MAX_LOGGED_KEYS = 1_000
MAX_LOGGED_TEXT = 200


class UnreadableRecords:
    """Logs each unreadable record once, and counts every time that one is left out.

    Parameters
    ----------
    context : Context
        Provides the structured log and the metrics.

    Attributes
    ----------
    logged : set of str
        Keys that have been logged, at most `MAX_LOGGED_KEYS`.
    """

    def __init__(self, *, context):
        self.context = context
        self.logged = set()

    def record(self, kind, key, reason=""):
        """Record that a record was left out.

        Parameters
        ----------
        kind : str
            Kind of the record, which names the counter `records_unreadable_KIND`.
        key : str
            Key of the record in the store.
        reason : str
            Error of the decoder.
        """
        self.context.metrics.count(f"records_unreadable_{kind}")
        key = key[:MAX_LOGGED_TEXT]
        if key in self.logged or len(self.logged) >= MAX_LOGGED_KEYS:
            return
        self.logged.add(key)
        self.context.journal(
            "record_unreadable",
            record=kind,
            key=key,
            reason=reason[:MAX_LOGGED_TEXT] or None,
        )

    def reporter(self, kind, key):
        """Return `record` for one key, to be called with the reason."""
        return functools.partial(self.record, kind, key)
