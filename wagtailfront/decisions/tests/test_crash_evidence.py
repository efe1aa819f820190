"""Tests of the detection of crashing requests."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wagtailfront.decisions.crash_evidence import CrashEvidence, Decision

INSTANCES = range(6)
ENGINES = [f"e{number}" for number in range(6)]
BYSTANDERS = ["n1", "n2", "n3"]
CRASHER = "x"


class ResentCrasher(RuleBasedStateMachine):
    """Six instances whose reports come late, duplicated and out of order.

    Guards against a caller that resends a crashing request through one
    instance after the other, or through two at once, and crashes an engine
    with each; and against rejecting for ever the requests that ran beside it.
    """

    def __init__(self):
        super().__init__()
        self.now = 0
        self.evidence = [CrashEvidence() for _ in INSTANCES]
        self.network = []
        self.running = []
        self.crashes = []
        self.senders = {}
        self.observers = []

    def peers(self, instance):
        return [peer for peer in INSTANCES if peer != instance]

    def broadcast(self, instance):
        items = self.evidence[instance].report(now=self.now)
        self.network += [
            (self.now, instance, peer, items) for peer in self.peers(instance)
        ]

    def merge(self, message):
        sent, source, target, items = message
        # A connection fails long before a message is 600 s late.
        if self.now - sent < 600:
            if self.evidence[target].merge(source, items, now=self.now):
                self.broadcast(target)
            assert not self.evidence[target].merge(source, items, now=self.now)

    def place(self, instance, fingerprint):
        return self.evidence[instance].place(
            fingerprint, endpoints=ENGINES, live=self.peers(instance), now=self.now
        )

    def crash(self, engine):
        self.crashes.append(self.now)
        self.running = [entry for entry in self.running if entry[2] != engine]
        self.observers = []
        for instance in INSTANCES:
            suspects = self.evidence[instance].record_crash(
                engine, f"{engine}#{len(self.crashes)}", now=self.now
            )
            if suspects:
                self.broadcast(instance)
            self.observers += [instance] if CRASHER in suspects else []

    @precondition(lambda self: len(self.senders) < 1 + (not self.crashes))
    @rule(instance=st.sampled_from(INSTANCES), engine=st.sampled_from(ENGINES))
    def resend(self, instance, engine):
        if instance not in self.senders:
            self.senders[instance] = None
            self.send_crasher(instance, engine)

    @precondition(lambda self: self.senders)
    @rule(data=st.data(), engine=st.sampled_from(ENGINES))
    def run_crasher(self, data, engine):
        instance = data.draw(st.sampled_from(sorted(self.senders)))
        if self.senders[instance] is not None:
            target = self.senders[instance]
            self.senders.update({at: None for at in self.senders_on(target)})
            self.crash(target)
        else:
            self.send_crasher(instance, engine)

    def send_crasher(self, instance, engine):
        placement = self.place(instance, CRASHER)
        if placement.decision is Decision.SEND:
            self.senders[instance] = placement.endpoint or engine
            self.evidence[instance].start(CRASHER, self.senders[instance])
        elif placement.decision is Decision.REFUSE and self.evidence[instance].settled(
            CRASHER, live=self.peers(instance), now=self.now
        ):
            del self.senders[instance]

    def senders_on(self, engine):
        return [at for at, running in self.senders.items() if running == engine]

    @rule(
        instance=st.sampled_from(INSTANCES),
        name=st.sampled_from(BYSTANDERS),
        engine=st.sampled_from(ENGINES),
    )
    def start_bystander(self, instance, name, engine):
        placement = self.place(instance, name)
        if placement.decision is Decision.SEND:
            target = placement.endpoint or engine
            self.evidence[instance].start(name, target)
            self.running.append((instance, name, target))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def complete_bystander(self, data):
        entry = data.draw(st.sampled_from(self.running))
        instance, name, engine = entry
        self.running.remove(entry)
        self.evidence[instance].complete(name, engine)
        assert self.place(instance, name).decision is Decision.SEND
        self.broadcast(instance)

    @precondition(lambda self: self.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        index = data.draw(st.integers(0, len(self.network) - 1))
        message = self.network[index] if keep else self.network.pop(index)
        self.merge(message)

    @rule()
    def deliver_all(self):
        for instance in INSTANCES:
            self.broadcast(instance)
        while self.network:
            self.merge(self.network.pop())

    @rule(seconds=st.sampled_from([1, 20, 200]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def at_most_two_engines_are_lost(self):
        assert sum(self.now - crash < 600 for crash in self.crashes) <= 2

    @invariant()
    def late_reports_do_not_prolong_evidence(self):
        if len(self.crashes) == 1 and self.now - self.crashes[0] >= 600:
            for instance in self.observers:
                assert self.place(instance, CRASHER).decision is Decision.SEND

    def teardown(self):
        self.deliver_all()
        refused = [
            {
                name
                for name in BYSTANDERS
                if self.place(at, name).decision.name[0] == "R"
            }
            for at in INSTANCES
        ]
        assert all(names == refused[0] for names in refused)
        self.now += 1200
        assert all(
            self.place(at, name).decision is Decision.SEND
            for at in INSTANCES
            for name in [*BYSTANDERS, CRASHER]
        )


TestResentCrasher = ResentCrasher.TestCase
TestResentCrasher.settings = settings(max_examples=200, stateful_step_count=40)
