"""Headers towards callers and endpoints on the users' platform."""

import logging
import math
from typing import Annotated

import msgspec

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.forwarding.interfaces import (
    PromptPart,
    RequestFields,
    ResponseFields,
)
from wagtailfront.platform.notices import read_notice
from wagtailfront.transport.framing import find_header
from wagtailfront.workspaces.keys import CONFLICTING_KEYS, key_digest

__all__ = [
    "EXPECTED_ID",
    "MAX_TOKENS",
    "RATE_LIMIT",
    "PlatformDialect",
    "read_rate_limit",
]

logger = logging.getLogger(__name__)

REQUEST_ID = b"X-Request-Id"
DEADLINE = b"X-Deadline-Ms"  # remaining time, not a point in time
MODEL = b"X-Model"
TOKENS = b"X-Token-Count"  # prompt tokens, then the limit of output tokens
PROMPT_PARTS = b"X-Prompt-Prefix"  # all parts; the request's own is last
LAST_EVENT = b"Last-Event-Id"
CALLER = b"Authorization"  # the page names no header for the caller
WORKSPACE = b"X-Tenant"
CHALLENGE = b"WWW-Authenticate"
KEY_SCHEME = b"Token"
RESUMES = b"Resumes"  # the attempt of the caller that began the stream
SIGNATURE = b"X-Response-Stamp"  # proof that an engine produced the response
NOT_RUN = b"X-Not-Executed"
RATE_LIMIT = b"Server-Limit"  # requests per second of all instances together
EXPECTED_ID = b"X-Expect-Instance"  # an endpoint's incarnation
PRIORITY = b"X-Request-Priority"
STAGE = b"X-Stage"
KV_SOURCE = b"X-Kv-Source"
RETRY_AFTER = b"Retry-After"
HOST = b"host"
PREFILL = b"prefill"
LOWEST_PRIORITY = 9  # largest value of PRIORITY; 0 is the most urgent
MS_PER_SECOND = 1000
MAX_TOKENS = 2**32  # so that sums over all requests stay exact in messages

# Only the system sets these headers; they are removed from callers' requests.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECTED_ID,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        b"X-Expect-Version",
        b"X-Kv-Hold",
        b"X-Kv-Backup",
        b"X-Pin-Ms",
        b"Kv-Fetch",
        DEADLINE,
    )
)

# A caller that lists them in Connection must not have them removed.
END_TO_END = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        MODEL,
        TOKENS,
        PROMPT_PARTS,
        LAST_EVENT,
        RESUMES,
        CALLER,
        SIGNATURE,
        NOT_RUN,
        RETRY_AFTER,
        HOST,
        b"Content-Type",
        b"Content-Encoding",
    )
)


# They are not passed on where requests need keys.
CREDENTIAL_HEADERS = frozenset((CALLER.lower(), WORKSPACE.lower()))


class _Handle(msgspec.Struct):
    """Body of a prefill response; `handle` names the KV cache to fetch."""

    # It is sent in a header's value.
    handle: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}\Z")]


class PlatformDialect:
    """Implements `wagtailfront.forwarding.interfaces.Dialect`."""

    end_to_end = END_TO_END

    def read_request(self, headers):
        """Decode a caller's headers; ValueError if one is malformed."""
        values = {name.lower(): value for name, value in headers}

        def text(name):
            return values.get(name.lower(), b"").decode("latin-1")

        last_event = text(LAST_EVENT)
        prompt_tokens, max_output = _read_tokens(text(TOKENS))
        return RequestFields(
            request_id=text(REQUEST_ID),
            host=text(HOST).partition(":")[0],
            time_left=_read_time_limit(text(DEADLINE)),
            model=text(MODEL),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output,
            parts=_read_parts(text(PROMPT_PARTS)),
            last_event_id=int(last_event) if last_event.isdigit() else None,
            resumes=text(RESUMES) or None,
            caller=text(CALLER),
        )

    def read_key(self, headers):
        """Return the digest of a caller's key, or None without one.

        Headers that contradict each other, of which one has a key, give the
        digest of no key.
        """
        values = {value for name, value in headers if name.lower() == CALLER.lower()}
        parts = [(*value.split(None, 1), b"", b"")[:2] for value in values]
        keys = [key for scheme, key in parts if scheme.lower() == KEY_SCHEME.lower()]
        if not keys:
            return None
        if len(values) > 1:
            return CONFLICTING_KEYS
        return key_digest(_decode_key(keys[0].strip()))

    def without_credentials(self, headers):
        """Return a caller's headers without its key and its workspace."""
        return [h for h in headers if h[0].lower() not in CREDENTIAL_HEADERS]

    def unauthorized_headers(self):
        """Return the headers of an answer to a request that needs a key."""
        return [(CHALLENGE, KEY_SCHEME), (b"Content-Type", b"text/plain")]

    def _workspace_headers(self, headers, workspace):
        """Return `headers` with those of a workspace in place of a key."""
        if workspace is None:
            return headers
        added = (WORKSPACE, workspace.encode())
        return [*self.without_credentials(headers), added]

    def endpoint_headers(self, headers, options):
        """Return the headers of a request to an endpoint."""
        headers = self._workspace_headers(headers, options.workspace)
        replaced = set(SYSTEM_HEADERS)
        added = [
            (EXPECTED_ID, options.endpoint_id.encode()),
            (DEADLINE, b"%d" % max(1, round(options.time_left * MS_PER_SECOND))),
        ]
        if options.priority is not None:
            added.append((PRIORITY, b"%d" % min(options.priority, LOWEST_PRIORITY)))
        if options.prefill_only:
            added.append((STAGE, PREFILL))
        if options.kv_source is not None:
            added.append((KV_SOURCE, options.kv_source.encode()))
        if options.resume_after is not None:
            replaced.add(LAST_EVENT.lower())
            added.append((LAST_EVENT, b"%d" % options.resume_after))
        return [h for h in headers if h[0].lower() not in replaced] + added

    def proxy_headers(self, headers, *, time_left, resume_after, workspace=None):
        """Return the headers of a request that a peer is to send on.

        Parameters
        ----------
        headers : list of (bytes, bytes)
            The caller's own.
        time_left : float
            Seconds until the caller's deadline.
        resume_after : int or None
            Last event of its stream that the caller has got.
        workspace : str, optional
            That of the caller. A peer of an older build passes its header on.
        """
        headers = self._workspace_headers(headers, workspace)
        replaced = {DEADLINE.lower()}
        added = [(DEADLINE, b"%d" % max(1, round(time_left * MS_PER_SECOND)))]
        if resume_after is not None:
            replaced.add(LAST_EVENT.lower())
            added.append((LAST_EVENT, b"%d" % resume_after))
        return [h for h in headers if h[0].lower() not in replaced] + added

    def read_response(self, status, headers):
        """Decode an endpoint's headers."""
        request_id = find_header(headers, REQUEST_ID.lower())
        return ResponseFields(
            request_id=None if request_id is None else request_id.decode("latin-1"),
            is_signed=find_header(headers, SIGNATURE.lower()) is not None,
            is_not_run=find_header(headers, NOT_RUN.lower()) is not None,
            is_encoded=find_header(headers, b"content-encoding") is not None,
            rate_limit=read_rate_limit(find_header(headers, RATE_LIMIT.lower())),
            notice=read_notice(headers),
        )

    def read_handle(self, address, body):
        """Return the KV source in a prefill response.

        Raises
        ------
        ValueError
            If the body is malformed.
        """
        try:
            handle = decode_json(body, _Handle).handle
        except ProtocolError as error:
            raise ValueError(f"unreadable handle: {error}")
        return f"{address}/{handle}"

    def refusal_headers(self, retry_after):
        """Return the headers of a refusal; `retry_after` in seconds."""
        if retry_after is None:
            return []
        # Rounded up: a caller that returns too early is refused again.
        milliseconds = math.ceil(retry_after * MS_PER_SECOND)
        return [(RETRY_AFTER, b"%.3f" % (milliseconds / MS_PER_SECOND))]


def read_rate_limit(value):
    """Return a header's rate limit in requests per second, or None."""
    if value is None:
        return None
    try:
        rate = float(value)
    except ValueError:
        rate = math.nan
    if not 0 <= rate < math.inf:
        logger.warning("[endpoint] unreadable rate limit %.40r", value)
        return None
    return rate


def _decode_key(value):
    """Return a key as text; it may be any bytes."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _read_tokens(text):
    prompt, _comma, output = text.partition(",")
    return _read_count(prompt or 0), _read_count(output or 0)


def _read_parts(text):
    pairs = (entry.partition(":") for entry in text.split(",") if entry.strip())
    return tuple(
        PromptPart(part_id.strip(), _read_count(tokens))
        for part_id, _colon, tokens in pairs
    )


def _read_count(text):
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"number of tokens {count} is out of range")
    return count


def _read_time_limit(text):
    """Return a time limit in seconds, or None without one."""
    if not text:
        return None
    time_left = float(text) / MS_PER_SECOND
    if not math.isfinite(time_left):
        raise ValueError(f"time limit {text:.40} is not a number")
    return time_left
