"""Instances with peers, table and object store in virtual time."""

import heapq
import itertools
import math
import random

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import (
    HEAD,
    LogEntry,
    commit_request,
    decode_entry,
)
from wagtailfront.authority.config_state import JoinRoster
from wagtailfront.authority.tests.config_builders import base_changes, make_member
from wagtailfront.authority.tests.config_node import (
    LateWork,
    Node,
    Parts,
    StaleDispatch,
    VersionReverted,
)
from wagtailfront.membership.member_list import ListedInstance
from wagtailfront.membership.messages import (
    Leaving,
    encode_message,
)
from wagtailfront.outcome import Verdict
from wagtailfront.stores.memory import MemoryObjects, MemoryTable

__all__ = ["StaleDispatch", "VersionReverted", "LateWork", "Parts", "Fleet"]

STEP = 0.05
TICKS = 2  # steps between an instance's ticks
LIST_LAG = 3.0  # seconds by which the platform's list is behind


class Fleet:
    """Simulated instances, faults and stores.

    Checks at every step that no instance dispatches on a version older than
    an accepted one, reverts its version, or gives work to an instance that
    left over 3 s ago.
    """

    def __init__(self, *, size, seed=0, parts=Parts, members=None):
        self.members = size if members is None else members
        self.size = size
        self.seed = seed
        self.parts = parts
        self.random = random.Random(seed)
        self.now = 100.0
        self.steps = itertools.count()
        self.order = itertools.count()
        self.heap = []
        self.table = MemoryTable(clock=lambda: self.now)
        self.objects = MemoryObjects(clock=lambda: self.now)
        self.cut_off = {}
        self.table_cut = set()
        self.slow = set()
        self.unreliable = False
        self.accepted = 0
        self.blocked = ()
        self.left_at = {}
        self.configs = {}
        self.proposed = {}
        self.outcomes = {}
        self.generations = dict.fromkeys(range(size), 0)
        self.list_history = []
        self.set_up_table()
        self.nodes = {number: Node(self, number, 0) for number in range(self.members)}
        self.record_list()

    def set_up_table(self):
        joins = [JoinRoster(member=make_member(n)) for n in range(self.members)]
        for version, change in enumerate((*base_changes(), *joins), start=1):
            entry = LogEntry(
                version=version,
                change_id=f"base{version}",
                author="test",
                change=change,
            )
            request = commit_request(entry)
            self.table.transact(
                puts=request.puts, token=request.token, reply=lambda reply: None
            )
        self.table.run_due()

    # Platform

    def record_list(self):
        listed = [
            ListedInstance(
                node.member.instance,
                node.member.address,
                node.member.data_centre,
                "leaving" if node.pinger.leaving else "live",
            )
            for node in self.nodes.values()
        ]
        self.list_history.append((self.now, listed))

    def platform_list(self):
        """Return the list as it was `LIST_LAG` ago."""
        past = [entry for at, entry in self.list_history if at <= self.now - LIST_LAG]
        return past[-1] if past else self.list_history[0][1]

    def request(self, node, effect):
        if node.number in self.table_cut:
            return  # the request is lost
        token, *arguments = effect

        def reply(result):
            self.schedule(
                self.delay(), lambda: self.deliver_input(node, "store", (token, result))
            )

        if isinstance(effect, effects.TableGet):
            self.table.get(key=effect.key, reply=reply)
        elif isinstance(effect, effects.TableQuery):
            partition, after, limit = arguments
            self.table.query(partition=partition, after=after, limit=limit, reply=reply)
        elif isinstance(effect, effects.TableTransact):
            puts, client_token = arguments
            self.table.transact(puts=puts, token=client_token, reply=reply)
        elif isinstance(effect, effects.ObjectGet):
            self.objects.get(name=effect.name, reply=reply)
        else:
            self.objects.put(name=effect.name, data=effect.data, reply=reply)

    # Network

    def schedule(self, delay, action):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), action))

    def delay(self):
        return self.random.uniform(0.001, 0.03)

    def partition_of(self, address):
        return self.cut_off.get(address, 0)

    def send(self, source, address, message):
        if isinstance(message, self.blocked):
            return
        data = encode_message(message)
        copies, delays = 1, (0.001, 0.03)
        if self.unreliable:
            copies = self.random.choice((0, 1, 1, 1, 2))
            delays = (0.001, 3.0)
        if source in self.slow or address in self.slow:
            delays = (2.0, 4.0)
        for _ in range(copies):
            when = self.random.uniform(*delays)
            self.schedule(when, lambda: self.deliver(source, address, data))

    def deliver(self, source, address, data):
        if self.partition_of(source) != self.partition_of(address):
            return
        for node in self.nodes.values():
            if node.member.address == address:
                self.deliver_input(node, "peer", (source, data))

    def deliver_input(self, node, kind, arguments):
        """Deliver an input to a running instance; queue it at a paused one."""
        if self.nodes.get(node.number) is not node:
            return
        if node.paused:
            node.inbox.append((kind, arguments))
        elif kind == "peer":
            node.receive(*arguments)
        else:
            node.on_store_reply(*arguments)

    # Time

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            step = next(self.steps)
            self.now = round(self.now + STEP, 6)
            self.table.run_due()
            self.objects.run_due()
            while self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            for node in list(self.nodes.values()):
                if not node.paused and (step + node.number) % TICKS == 0:
                    node.tick(self.now)
            self.check()

    def check(self):
        for node in self.nodes.values():
            if not node.paused:
                self.check_node(node)

    def check_node(self, node):
        version = node.replica.log.version
        name = node.member.incarnation
        if version < node.version_seen:
            self.report_violation(
                VersionReverted, f"{name}: {node.version_seen} to {version}"
            )
        node.version_seen = version
        if version < self.accepted and node.replica.may_dispatch(self.now):
            self.report_violation(
                StaleDispatch, f"{name}: {version}, accepted: {self.accepted}"
            )
        for target in node.members.work_targets(self.now):
            left_at = self.left_at.get(target.incarnation, math.inf)
            if self.now > left_at + 3.0:
                self.report_violation(
                    LateWork, f"{name} would use {target.incarnation}"
                )

    def report_violation(self, kind, text):
        """Raise a violation unless the test checks only for others."""
        if kind in self.parts.checked:
            raise kind(text)

    # What instances report

    def on_applied(self, node, config):
        known = self.configs.setdefault(config.version, config)
        assert known == config, "two configurations have one version"

    def on_in_effect(self, version):
        self.accepted = max(self.accepted, version)
        self.check()

    def on_answer(self, change_id, outcome):
        if change_id in self.proposed:
            self.outcomes[change_id] = outcome
        if isinstance(outcome, effects.Accepted):
            self.on_in_effect(outcome.version)

    # Actions

    def propose(self, number, change, *, base_version=None):
        """Propose at a running instance; return the change id."""
        node = self.nodes[number]
        change_id = f"op{len(self.proposed)}"
        if base_version is None:
            base_version = node.replica.log.version
        self.proposed[change_id] = (self.now, number, node.member.incarnation)
        node.replica.propose(
            self.now,
            change=change,
            change_id=change_id,
            base_version=base_version,
            author="test",
        )
        node.carry_out()
        return change_id

    def pause(self, number):
        self.nodes[number].paused = True

    def resume(self, number):
        """Resume a paused instance; it may dispatch before it reads input."""
        node = self.nodes[number]
        node.paused = False
        node.resumed_at = self.now
        self.check_node(node)
        pending, node.inbox = node.inbox, []
        for kind, arguments in pending:
            self.deliver_input(node, kind, arguments)

    def leave(self, number):
        """Let an instance announce that it accepts no new work."""
        node = self.nodes[number]
        node.pinger.leaving = True
        node.replica.joins_roster = False
        self.left_at.setdefault(node.member.incarnation, self.now)
        leaving = Leaving(
            incarnation=node.member.incarnation, instance=node.member.instance
        )
        node.send_all((address, leaving) for address in node.targets())
        self.record_list()

    def kill(self, number):
        node = self.nodes.pop(number, None)
        if node is not None:
            self.left_at.setdefault(node.member.incarnation, self.now)
        self.record_list()

    def start(self, number):
        """Start an instance without state, in place of any previous one."""
        self.kill(number)
        self.generations[number] += 1
        self.nodes[number] = Node(self, number, self.generations[number])
        self.record_list()

    def cut(self, numbers, *, table):
        """Partition instances from the others and maybe from the stores."""
        for number in numbers:
            self.cut_off[make_member(number).address] = 1
        if table:
            self.table_cut |= set(numbers)

    def heal(self):
        self.cut_off = {}
        self.table_cut = set()
        self.slow = set()
        self.unreliable = False

    # Whole-history checks

    def committed(self):
        """Return the change ids in the table's log, with duplicates."""
        return [
            decode_entry(row.value).change_id
            for _, row in self.table.history
            if row.key != HEAD
        ]

    def check_outcomes(self):
        """Check that every outcome is correct and was given in time."""
        committed = self.committed()
        assert len(committed) == len(set(committed)), "a change was committed twice"
        for change_id, outcome in self.outcomes.items():
            verdict = getattr(outcome, "verdict", None)
            if verdict is None:
                assert change_id in committed, f"{outcome} of a lost change"
            elif verdict is Verdict.NOT_RUN:
                assert change_id not in committed, f"{outcome} of a committed change"
        for change_id, (at, number, incarnation) in self.proposed.items():
            node = self.nodes.get(number)
            if node is not None and node.member.incarnation == incarnation:
                answered = change_id in self.outcomes or node.paused
                due = max(at + 7.0, node.resumed_at) + 0.2
                assert answered or self.now < due, "an operator got no answer"
