"""One instance of the fleet in virtual time."""

import random

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import (
    ConfigLog,
)
from wagtailfront.authority.config_replica import ConfigReplica
from wagtailfront.authority.freshness import Freshness
from wagtailfront.authority.proposal import Proposal
from wagtailfront.authority.tests.config_builders import make_member
from wagtailfront.membership.member_list import MemberList
from wagtailfront.membership.messages import (
    Leaving,
    Ping,
    Pong,
    decode_message,
)
from wagtailfront.membership.pinger import (
    FAST_PING_INTERVAL,
    PING_INTERVAL,
    PINGED_PEERS,
    Pinger,
    answer_ping,
    ping_addresses,
    probe_addresses,
)

__all__ = ["StaleDispatch", "VersionReverted", "LateWork", "Parts", "Node"]

LIST_POLL_INTERVAL = 2.0  # seconds


class StaleDispatch(AssertionError):
    """An instance may dispatch on a version older than an accepted one."""


class VersionReverted(AssertionError):
    """An instance replaced its version by an older one."""


class LateWork(AssertionError):
    """An instance still counts as a target 3 s after it began to leave."""


class Parts:
    """Classes that make up an instance; tests replace one by a faulty one."""

    log = ConfigLog
    freshness = Freshness
    pinger = Pinger
    members = MemberList
    proposal = Proposal
    checked = (StaleDispatch, VersionReverted, LateWork)
    peers = PINGED_PEERS
    retained = 4  # entries; few, so that peers also send whole copies


class Node:
    """One instance incarnation."""

    def __init__(self, fleet, number, generation):
        self.fleet = fleet
        self.number = number
        self.generation = generation
        self.member = make_member(number, generation=generation)
        parts, now = fleet.parts, fleet.now
        rng = random.Random(f"{fleet.seed} {self.member.incarnation}")
        self.replica = ConfigReplica(
            member=self.member,
            now=now,
            random=rng,
            log=parts.log(retained=parts.retained),
            freshness=parts.freshness(member=self.member),
            make_proposal=parts.proposal,
        )
        self.replica.writes_snapshots = True
        self.pinger = parts.pinger(member=self.member, random=rng)
        self.members = parts.members(now=now)
        self.paused = False
        self.resumed_at = now
        self.inbox = []
        self.next_list = now
        self.next_probe = now
        self.version_seen = 0

    def targets(self):
        return ping_addresses(
            self.member,
            roster=self.replica.config.roster.values(),
            known=self.members.members.values(),
            listed=self.members.listed_addresses(),
            count=self.fleet.parts.peers,
        )

    def tick(self, now):
        if now >= self.next_list:
            self.next_list = now + LIST_POLL_INTERVAL
            self.members.handle_list(now, self.fleet.platform_list())
        watched = self.replica.watched_members()
        self.replica.set_gone(
            {m.incarnation for m in watched if self.members.is_gone(now, m)}
        )
        self.replica.tick(now)
        self.carry_out()
        fast, waiting = self.replica.ping_pace(now)
        version = self.replica.log.version
        if waiting and now >= self.next_probe:
            self.next_probe = now + 1.0
            silent = self.members.silent_members(now, watched)
            probes = probe_addresses(
                now, self.member, silent, count=self.fleet.parts.peers
            )
            self.send_all(self.pinger.ping_now(now, addresses=probes, version=version))
        pings = self.pinger.tick(
            now,
            addresses=self.targets(),
            version=version,
            interval=FAST_PING_INTERVAL if fast else PING_INTERVAL,
        )
        self.send_all(pings)

    def send_all(self, pairs):
        for address, message in pairs:
            self.fleet.send(self.member.address, address, message)

    def receive(self, source, data):
        now = self.fleet.now
        message = decode_message(data)
        if isinstance(message, Ping):
            relays = self.replica.freshness.relays(now)
            version = self.replica.log.version
            pong = answer_ping(
                self.member,
                message,
                version=version,
                leaving=self.pinger.leaving,
                relays=relays,
            )
            self.send_all([(source, pong)])
        elif isinstance(message, Pong):
            report = self.pinger.handle_pong(now, message)
            if report is not None:
                self.members.handle_report(report)
                self.replica.on_report(now, report)
        elif isinstance(message, Leaving):
            self.members.handle_leaving(message.incarnation)
        else:
            self.replica.on_message(now, message, source)
        self.carry_out()

    def on_store_reply(self, token, reply):
        self.replica.on_store_reply(self.fleet.now, token, reply)
        self.carry_out()

    def carry_out(self):
        pending, self.replica.effects = self.replica.effects, []
        for effect in pending:
            self.carry_out_one(effect)

    def carry_out_one(self, effect):
        if isinstance(effect, effects.Send):
            self.send_all([(effect.address, effect.message)])
        elif isinstance(effect, effects.Reply):
            self.send_all([(effect.source, effect.message)])
        elif isinstance(effect, effects.Broadcast):
            targets = self.targets()
            self.send_all((address, effect.message) for address in targets)
            version = self.replica.log.version
            self.send_all(
                self.pinger.ping_now(self.fleet.now, addresses=targets, version=version)
            )
        elif isinstance(effect, effects.Applied):
            self.fleet.on_applied(self, effect.config)
        elif isinstance(effect, effects.InEffect):
            self.fleet.on_in_effect(effect.version)
        elif isinstance(effect, effects.Answer):
            self.fleet.on_answer(effect.change_id, effect.outcome)
        elif not isinstance(effect, effects.Warn):
            self.fleet.request(self, effect)
