"""Bearer tokens that authenticate operators."""

import hashlib
import re

from wagtailfront.exception import SettingsError

__all__ = ["read_tokens", "token_digest"]

TOKEN_LINE = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]{0,62})\s+([0-9a-f]{64})", re.ASCII)


def token_digest(token):
    """Return the SHA-256 of a token in hexadecimal."""
    return hashlib.sha256(token.encode(errors="replace")).hexdigest()


def read_tokens(path):
    """Return the operators' names by the digests of their tokens.

    Parameters
    ----------
    path : Path
        File whose lines consist of a name and the token's SHA-256 in
        hexadecimal; empty lines and lines that start with # are ignored.

    Raises
    ------
    SettingsError
        If the file cannot be read or a line is not valid.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"token file {path}: {error}")
    tokens = {}
    for number, line in enumerate(map(str.strip, lines), start=1):
        if not line or line.startswith("#"):
            continue
        match = TOKEN_LINE.fullmatch(line)
        if match is None:
            raise SettingsError(
                f"token file {path}, line {number}: expected a name and a SHA-256"
            )
        tokens[match[2]] = match[1]
    return tokens
