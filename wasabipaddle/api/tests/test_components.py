"""Tests of rate limits, cached answers, error responses and certificates."""

import asyncio
import os
import ssl

import trustme

from wasabipaddle.api.idempotency import AnswerCache, CachedAnswer
from wasabipaddle.api.limits import CallerLimits
from wasabipaddle.api.responses import failure_response
from wasabipaddle.api.tests.cell import open_cell
from wasabipaddle.api.tls import CertificateReloader
from wasabipaddle.exceptions import ERROR_TABLE, ErrorKind, Failure
from wasabipaddle.settings import TlsSettings


def test_each_caller_has_its_own_limit(clock):
    """Guards against one caller that uses up the tokens of others."""
    limits = CallerLimits(rate_per_s=2, burst=2, clock=clock, max_callers=2)
    assert [limits.take("a") for _ in range(3)] == [0, 0, 0.5]
    assert limits.take("b") == 0
    clock.advance(0.5)
    assert limits.take("a") == 0
    limits.take("c")
    assert set(limits.buckets) == {"a", "c"}


def test_cached_answers_are_bounded(clock):
    """Guards against cached answers that fill the memory of the process."""
    cache = AnswerCache(clock=clock, max_answers=3, max_bytes=10, retention_s=60)
    for i in range(4):
        cache.begin(i, b"").unwrap()
        cache.end(i, CachedAnswer(request="r", body=b"123"))
    assert list(cache.ended) == [1, 2, 3]
    cache.begin(4, b"")
    cache.end(4, CachedAnswer(request="r", body=b"12345"))
    assert list(cache.ended) == [3, 4]
    clock.advance(60)
    assert cache.begin(3, b"").unwrap() is None
    assert cache.bytes == 0


def test_work_that_was_not_run_may_be_repeated(clock):
    """Guards against a refusal that is cached and so returned to every repeat."""
    cache = AnswerCache(clock=clock)
    for kind, is_cached in ((ErrorKind.SHED, False), (ErrorKind.TIMEOUT, True)):
        cache.begin(kind, b"").unwrap()
        cache.end(kind, CachedAnswer(request="r", failure=Failure(kind=kind)))
        assert (cache.begin(kind, b"").unwrap() is not None) is is_cached


def test_every_kind_has_a_response():
    """Guards against a kind without its status, or a retryable one without a delay."""
    for kind in ErrorKind:
        response = failure_response(Failure(kind=kind))
        assert response.status == ERROR_TABLE[kind].status
        assert ("Retry-After" in response.headers) is ERROR_TABLE[kind].retry


def write_certificate(authority, tls):
    """Write a new certificate and key, and return the certificate as PEM bytes."""
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(tls.key)
    issued.cert_chain_pems[0].write_to_path(tls.certificate)
    return issued.cert_chain_pems[0].bytes()


async def served_certificate(cell):
    """Return the certificate that a new connection receives, as PEM bytes."""
    context = ssl.create_default_context()
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    port = cell.plugin.listener.port
    _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return ssl.DER_cert_to_PEM_cert(der).encode()


def test_certificate_is_reloaded(tmp_path):
    """Guards against a new certificate that is ignored or loaded with the wrong key."""
    tls = TlsSettings(certificate=str(tmp_path / "c.pem"), key=str(tmp_path / "k.pem"))
    authority = trustme.CA()
    first = write_certificate(authority, tls)

    async def main():
        async with open_cell(tls=tls) as cell:
            reloader = CertificateReloader(tls=tls, contexts=[cell.plugin.listener.ssl])
            assert await served_certificate(cell) == first
            old_key = (tmp_path / "k.pem").read_bytes()
            second = write_certificate(authority, tls)
            new_key = (tmp_path / "k.pem").read_bytes()
            (tmp_path / "k.pem").write_bytes(old_key)
            assert not reloader.reload_if_changed()
            assert await served_certificate(cell) == first
            (tmp_path / "k.pem").write_bytes(new_key)
            os.utime(tls.key, ns=(1, 1))
            assert reloader.reload_if_changed()
            assert await served_certificate(cell) == second

    asyncio.run(main())
