"""Check of requests' keys, and what follows from the result."""

import math
from typing import Any, NamedTuple

from wagtailfront.workspaces.credential import (
    Credential,
    CredentialKind,
    authenticate,
)
from wagtailfront.workspaces.keys import CONFLICTING_KEYS, find_changes

__all__ = ["KeyCheck", "KeyRefusal", "KeyedRequest"]

UNAUTHORIZED, UNAVAILABLE = 401, 503


class KeyRefusal(NamedTuple):
    """Why a request is not served.

    Attributes
    ----------
    status : int
    reason : str
        For the caller and the log, without the key.
    kind : str
        For the metrics, from a closed set.
    """

    status: int
    reason: str
    kind: str


MISSING = KeyRefusal(UNAUTHORIZED, "the request carries no key", "missing")
UNKNOWN = KeyRefusal(UNAUTHORIZED, "the key of the request is not known", "unknown")
CONFLICTING = KeyRefusal(
    UNAUTHORIZED, "the keys of the request contradict each other", "unknown"
)
OLD = KeyRefusal(
    UNAVAILABLE, "the configuration may be too old to check keys", "old_configuration"
)
UNCONFIRMED = OLD._replace(
    reason="the key is not known, and the configuration may be too old to know it"
)


class KeyedRequest(NamedTuple):
    """A request without its key, and how it is handled."""

    request: Any
    fields: Any
    route: Any


class KeyCheck:
    """Checks the key of each request when it is taken from its caller.

    Parameters
    ----------
    dialect : Dialect
    log : DecisionLog
    metrics : Metrics
    age : ConfigAge, optional
        Without it the configuration may have any age.
    may_lack_keys : callable, optional
        Returns whether a key may have been added that is not known yet, as
        the store is out of reach. A caller does not try again after 401.

    Attributes
    ----------
    is_sound : bool
        Whether keys could be checked at the latest keyed request.
    """

    def __init__(self, *, dialect, log, metrics, age=None, may_lack_keys=lambda: False):
        self.dialect = dialect
        self.log = log
        self.metrics = metrics
        self.age = age
        self.may_lack_keys = may_lack_keys
        self.is_sound = True

    def check(self, keyed, workspaces, instructions=None):
        """Return a KeyedRequest without its key, or a KeyRefusal.

        The time is read after the request has arrived, so its caller sent it
        before. What happens to it later needs no further check.

        Parameters
        ----------
        keyed : KeyedRequest
        workspaces : Mapping of str to KeyedWorkspace, or None
            By the digest of each key; None if requests need no key.
        instructions : ProxyInstructions, optional
            Of the peer that sent the request. If they name no workspace, it is
            checked like that of a caller: its route may be public, and an
            older build does not check keys.
        """
        if instructions is not None and instructions.workspace is not None:
            credential = _find_named(instructions, workspaces)
        elif workspaces is None:
            return keyed
        else:
            digest = self.dialect.read_key(keyed.request.headers)
            credential = authenticate(digest, workspaces)
            refusal = self._find_refusal(credential, keyed.route, digest)
            if refusal is not None:
                self.metrics.count("keyed_refusals_total", reason=refusal.kind)
                return refusal
        return self._apply(keyed, credential)

    def _find_refusal(self, credential, route, digest):
        """Return why a request is refused, or None."""
        if credential.kind is CredentialKind.NONE:
            return None if route.is_public else MISSING
        if not self._may_serve():
            return OLD  # also for a key that may have been added since
        if credential.kind is CredentialKind.WORKSPACE:
            return None
        if digest == CONFLICTING_KEYS:
            return CONFLICTING
        return UNCONFIRMED if self.may_lack_keys() else UNKNOWN

    def _may_serve(self):
        """Return whether keys can be checked, and log when this changes."""
        if self.age is None:
            return True
        age = self.age.age()
        is_sound = age < self.age.refused_from
        if is_sound != self.is_sound:
            self.is_sound = is_sound
            self.log.decision(
                "keyed_work",
                outcome="served" if is_sound else "refused",
                config_age=None if age == math.inf else round(age, 3),
                limit=self.age.refused_from,
                **self.age.state(),
            )
        return is_sound

    def _apply(self, keyed, credential):
        """Return a request as that of its workspace."""
        request, fields, route = keyed
        headers = self.dialect.without_credentials(request.headers)
        if credential.priority is not None:
            route = route._replace(priority=credential.priority)
        fields = fields._replace(
            workspace=credential.workspace, caller=credential.caller
        )
        return KeyedRequest(request._replace(headers=headers), fields, route)

    def record_config(self, before, after):
        """Record that the workspaces of another configuration are in force.

        Parameters
        ----------
        before, after : Mapping of str to KeyedWorkspace, or None
        """
        if before is None and after is None:
            return
        changes = find_changes(before, after)
        self.metrics.set("workspaces_known", changes.workspaces)
        if changes.removed:
            self.metrics.count("keys_revoked_total", changes.removed)
        if changes.added or changes.removed or (before is None) != (after is None):
            self.log.decision(
                "keys",
                outcome="not needed" if after is None else "changed",
                **changes._asdict(),
            )


def _find_named(instructions, workspaces):
    """Return the Credential that a peer has found.

    Its workspace may be missing here while the configurations differ.
    """
    named = (
        workspace.priority
        for workspace in (workspaces or {}).values()
        if workspace.name == instructions.workspace
    )
    return Credential(
        CredentialKind.WORKSPACE,
        instructions.workspace,
        next(named, None),
        instructions.caller,
    )
