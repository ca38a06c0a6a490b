"""TLS contexts whose certificate is reloaded when its files change."""

import os
import ssl

from absl import logging

__all__ = ["CertificateReloader", "server_context"]


def server_context(tls) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, None if TLS is off.

    Parameters
    ----------
    tls : TlsSettings
        Files for certificate and key.
    """
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


class CertificateReloader:
    """Loads changed certificate files into TLS contexts that are in use.

    Connections made after a reload use the new certificate. A certificate and key that
    do not match, as in the middle of a replacement, are tried again at the next check.

    Parameters
    ----------
    tls : TlsSettings
        Files for certificate and key.
    contexts : list of ssl.SSLContext
        Contexts of the listeners and of calls to peers.
    """

    def __init__(self, *, tls, contexts):
        self.tls = tls
        self.contexts = contexts
        self.loaded_stamp = self._stamp()
        self.failed_stamp = None

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether they were reloaded."""
        stamp = self._stamp()
        if stamp is None or stamp == self.loaded_stamp:
            return False
        try:
            # A failed load can leave a context without a usable key, so the files
            # are first loaded into a temporary context.
            server_context(self.tls)
            for context in self.contexts:
                context.load_cert_chain(self.tls.certificate, self.tls.key)
        except (OSError, ValueError) as error:
            if self.failed_stamp != stamp:
                logging.warning("certificate not reloaded: %s", error)
                self.failed_stamp = stamp
            return False
        self.loaded_stamp = stamp
        logging.info("certificate reloaded from %s", self.tls.certificate)
        return True

    def _stamp(self):
        try:
            found = [os.stat(f) for f in (self.tls.certificate, self.tls.key)]
        except OSError:
            return None
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in found)
