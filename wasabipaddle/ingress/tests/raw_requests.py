"""Raw bytes of submissions, for clients that stop or dawdle within them."""

__all__ = ["BODY_BYTES", "CHUNKED", "body_of", "chunked", "head", "length", "write"]

# Largest body of the configuration.
BODY_BYTES = 262_144
CHUNKED = "Transfer-Encoding: chunked\r\n"


def head(number, fields):
    """Return the head of the submission of a job."""
    return f"POST /q/{number:016x} HTTP/1.1\r\nHost: q.example\r\n{fields}\r\n".encode()


def length(size):
    """Return the field of a head that declares the size of its body."""
    return f"Content-Length: {size}\r\n"


def body_of(size):
    """Return the body of a valid job, filled up with a field that is ignored."""
    start = b'{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1}],"pad":"'
    return start + b"x" * (size - len(start) - 2) + b'"}'


def chunked(body, size):
    """Return a body in chunks of a size, without the last chunk."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


async def write(writer, data):
    """Send bytes, as far as the process reads them."""
    writer.write(data)
    await writer.drain()
