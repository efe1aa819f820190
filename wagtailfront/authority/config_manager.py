"""Component that runs the configuration replica in the event loop."""

import logging
import math

from circuits import BaseComponent, Event, handler

from wagtailfront.authority import config_effects as effects
from wagtailfront.identifiers import new_id
from wagtailfront.membership.heartbeats import (
    config_applied,
    member_broadcast,
    ping_pace,
)
from wagtailfront.membership.messages import (
    ConfigChange,
    ConfigCopy,
    ConfigFetch,
    Ping,
)
from wagtailfront.membership.peer_bus import peer_reply, peer_send
from wagtailfront.membership.pinger import answer_ping
from wagtailfront.transport.ticker import Ticker

__all__ = [
    "propose",
    "config_in_effect",
    "config_confirmed",
    "snapshot_lease",
    "ConfigManager",
]

TICK = 0.1  # seconds

logger = logging.getLogger(__name__)


class propose(Event):
    """Commit `change`, based on `base_version`, for `author`.

    `reply` gets Accepted, Conflict, Invalid, Pending or Unavailable. A
    retry with the same `change_id` commits the change at most once.
    """


class config_in_effect(Event):
    """Versions up to this one are in effect everywhere: `version`."""


class config_confirmed(Event):
    """New work may be given to endpoints until this time: `until`."""


class snapshot_lease(Event):
    """Whether this instance holds the lease `config-snapshot`: `held`."""


class config_tick(Event):
    """Run the periodic work of the replica."""


class ConfigManager(BaseComponent):
    """Carries out the effects of `ConfigReplica`.

    Other components address it by its channel, `config_keeper`.

    Parameters
    ----------
    replica : ConfigReplica
        Outlives this component. A component that is restarted must get the
        same one, or one of another incarnation: this incarnation's peers
        rely on versions that it has acknowledged.
    table : TableStore
    objects : ObjectStore
    clock : callable
        Returns seconds of a clock that keeps running during suspend.
    """

    channel = "config_keeper"

    def __init__(self, *, replica, table, objects, clock):
        super().__init__()
        self.replica = replica
        self.table = table
        self.objects = objects
        self.clock = clock
        self.leaving = False
        self.replies = {}
        self.pace = (True, True)
        self.confirmed_until = -math.inf
        Ticker(interval=TICK, make_event=config_tick, target=self.channel).register(
            self
        )
        self.fire(config_applied(replica.config), "*")
        self.fire(config_tick())

    def may_dispatch(self):
        """Return whether new work may be given to endpoints now.

        Call it directly before the request is written.
        """
        return self.replica.may_dispatch(self.clock())

    @handler("config_tick")
    def _on_tick(self):
        self.replica.tick(self.clock())
        self._carry_out()

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        now = self.clock()
        if isinstance(message, Ping):
            answer = answer_ping(
                self.replica.member,
                message,
                version=self.replica.config.version,
                leaving=self.leaving,
                relays=self.replica.freshness.relays(now),
            )
            self.fire(peer_reply(source, answer), "peer_bus")
        elif isinstance(message, ConfigChange | ConfigFetch | ConfigCopy):
            self.replica.on_message(now, message, source)
            self._carry_out()

    @handler("peer_report", channel="*")
    def _on_peer_report(self, report):
        self.replica.on_report(self.clock(), report)
        self._carry_out()

    @handler("members_gone", channel="*")
    def _on_members_gone(self, incarnations):
        self.replica.set_gone(incarnations)

    @handler("snapshot_lease", channel="*")
    def _on_snapshot_lease(self, held):
        self.replica.writes_snapshots = held

    @handler("start_leaving", channel="*")
    def _on_start_leaving(self):
        self.leaving = True
        self.replica.joins_roster = False

    @handler("config_requested", channel="*")
    def _on_config_requested(self):
        self.fire(config_applied(self.replica.config), "*")
        self.fire(ping_pace(*self.pace), "*")

    @handler("propose", channel="*")
    def _on_propose(self, **arguments):
        self.propose(**arguments)

    def propose(self, *, change, base_version, reply, author, change_id=None):
        """Commit a change; see the event `propose`."""
        change_id = change_id or new_id()
        self.replies.setdefault(change_id, []).append(reply)
        self.replica.propose(
            self.clock(),
            change=change,
            change_id=change_id,
            base_version=base_version,
            author=author,
        )
        self._carry_out()

    # Effects

    def _carry_out(self):
        pending, self.replica.effects = self.replica.effects, []
        for effect in pending:
            HANDLERS[type(effect)](self, effect)
        pace = self.replica.ping_pace(self.clock())
        if pace != self.pace:
            self.pace = pace
            self.fire(ping_pace(*pace), "*")
        until = self.replica.freshness.confirmed_until
        if until != self.confirmed_until:
            self.confirmed_until = until
            extra = self.replica.freshness.serve_unconfirmed_for
            self.fire(config_confirmed(until + extra), "*")

    def _reply_handler(self, token):
        """Return the callback for the store's reply to a request."""

        def reply(result):
            self.replica.on_store_reply(self.clock(), token, result)
            self._carry_out()

        return reply

    def _get(self, effect):
        self.table.get(key=effect.key, reply=self._reply_handler(effect.token))

    def _query(self, effect):
        self.table.query(
            partition=effect.partition,
            after=effect.after,
            limit=effect.limit,
            reply=self._reply_handler(effect.token),
        )

    def _transact(self, effect):
        self.table.transact(
            puts=effect.puts,
            token=effect.client_token,
            reply=self._reply_handler(effect.token),
        )

    def _get_object(self, effect):
        self.objects.get(name=effect.name, reply=self._reply_handler(effect.token))

    def _put_object(self, effect):
        self.objects.put(
            name=effect.name,
            data=effect.data,
            reply=self._reply_handler(effect.token),
        )

    def _send(self, effect):
        self.fire(peer_send(effect.address, effect.message), "peer_bus")

    def _reply(self, effect):
        self.fire(peer_reply(effect.source, effect.message), "peer_bus")

    def _broadcast(self, effect):
        self.fire(member_broadcast(effect.message), "*")

    def _applied(self, effect):
        logger.info("[config] version %d applied", effect.config.version)
        self.fire(config_applied(effect.config), "*")

    def _in_effect(self, effect):
        logger.info("[config] version %d in effect", effect.version)
        self.fire(config_in_effect(effect.version), "*")

    def _answer(self, effect):
        logger.info("[config] change %s: %s", effect.change_id, effect.outcome)
        for reply in self.replies.pop(effect.change_id, ()):
            reply(effect.outcome)

    def _warn(self, effect):
        logger.warning("[config] %s", effect.text)


HANDLERS = {
    effects.TableGet: ConfigManager._get,
    effects.TableQuery: ConfigManager._query,
    effects.TableTransact: ConfigManager._transact,
    effects.ObjectGet: ConfigManager._get_object,
    effects.ObjectPut: ConfigManager._put_object,
    effects.Send: ConfigManager._send,
    effects.Reply: ConfigManager._reply,
    effects.Broadcast: ConfigManager._broadcast,
    effects.Applied: ConfigManager._applied,
    effects.InEffect: ConfigManager._in_effect,
    effects.Answer: ConfigManager._answer,
    effects.Warn: ConfigManager._warn,
}
