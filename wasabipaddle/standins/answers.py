"""Answers of simulated endpoints, intact or damaged."""

import enum

import attrs
import xxhash

__all__ = ["Answer", "AnswerDamage", "damage_answer", "make_answer"]


class AnswerDamage(enum.Enum):
    """How an answer is damaged."""

    NO = ""
    SHORT = "short"  # ends after half of its bytes
    STALL = "stall"  # stalls after half of its bytes
    DIGEST = "digest"  # has a body that does not match its digest
    OTHER = "other"  # has the id of another request


@attrs.frozen(kw_only=True)
class Answer:
    """One answer, whose body may differ from the announced length and digest.

    Parameters
    ----------
    request : str
        Announced request id.
    length, digest
        Announced size in bytes and xxh3 digest of the body.
    body : bytes
        Bytes that are sent.
    stalls : bool
        Whether the connection stalls after the body.
    """

    request: str
    length: int
    digest: str
    body: bytes
    stalls: bool = False


def make_answer(request, size) -> Answer:
    """Make an answer of `size` bytes whose content repeats the request id."""
    pattern = f"{request}\n".encode()
    body = (pattern * (size // len(pattern) + 1))[:size]
    digest = xxhash.xxh3_64_hexdigest(body)
    return Answer(request=request, length=size, digest=digest, body=body)


def damage_answer(answer, damage) -> Answer:
    """Return an answer with the given damage, or unchanged for `AnswerDamage.NO`."""
    half = answer.body[: len(answer.body) // 2]
    if damage is AnswerDamage.SHORT:
        return attrs.evolve(answer, body=half)
    if damage is AnswerDamage.STALL:
        return attrs.evolve(answer, body=half, stalls=True)
    if damage is AnswerDamage.DIGEST:
        return attrs.evolve(answer, body=bytes(b ^ 1 for b in answer.body))
    if damage is AnswerDamage.OTHER:
        return attrs.evolve(answer, request=f"{answer.request}-other")
    return answer
