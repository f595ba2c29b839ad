"""Reads the body of a response that must be complete."""

from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

READ_BLOCK_BYTES = 65_536
MAX_RESPONSE_BYTES = 16_777_216
NO_BODY_STATUSES = (204, 304)


def read_body(answer: HTTPSocketResponse) -> bytes:
    """Return the body of a response, which must have a detectable end.

    Raises:
        HTTPParseError: If the body is truncated, too large, or ends only with the
            connection, so that a truncation could not be detected.
    """
    has_no_body = answer.method == "HEAD" or answer.status_code in NO_BODY_STATUSES
    length = answer.content_length
    chunked = "transfer-encoding" in answer
    if not has_no_body and length is None and not chunked:
        raise HTTPParseError("the response has neither a Content-Length nor chunks")
    if not has_no_body and (length or 0) > MAX_RESPONSE_BYTES:
        raise HTTPParseError(f"the response is larger than {MAX_RESPONSE_BYTES} bytes")
    if not chunked:
        return bytes(answer.read())
    blocks = []
    size = 0
    while block := answer.read(READ_BLOCK_BYTES):
        blocks.append(bytes(block))
        size += len(block)
        if size > MAX_RESPONSE_BYTES:
            raise HTTPParseError(
                f"the response is larger than {MAX_RESPONSE_BYTES} bytes"
            )
    return b"".join(blocks)
