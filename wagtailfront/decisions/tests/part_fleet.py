"""Simulated fleet in which one prompt part crashes engines."""

import itertools
import random

from wagtailfront.decisions.crashing_parts import CrashingParts

__all__ = ["DEADLY", "PartFleet"]

DEADLY = "deadly"
STEP = 0.05  # seconds
REPORT_STEPS = 3
FULL_REPORT_STEPS = 20
REPORT_DELAY = 0.2  # seconds until a report is received
SERVICE_TIME = 0.3  # seconds from a send to the first event
RESTART_TIME = 3.0  # seconds for which a crashed engine is down
SUBJECTS = 40
MAX_ATTEMPTS = 2


class PartFleet:
    """Instances that send prompts to engines, in virtual time.

    Parameters
    ----------
    instances, engines : int
    rate : float
        Requests per second of the whole fleet.
    share : float
        Part of the requests with the deadly part.
    seed : int

    Attributes
    ----------
    crash_times : list of float
        When the deadly part crashed an engine.
    deadly_sends, refused_sound, answered : list
        Pairs of time and instance of sends with the deadly part; times of
        refused sound requests; times of answers.
    """

    def __init__(self, *, instances=6, engines=6, rate=40.0, share=0.05, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.share = share
        self.names = itertools.count()
        self.parts = {name: self.new_parts() for name in range(instances)}
        self.cut = set()
        self.engines = {number: f"e{number}/0" for number in range(engines)}
        self.down_until = {}
        self.in_flight = []
        self.in_transit = []
        self.crash_times, self.deadly_sends = [], []
        self.refused_sound, self.answered = [], []

    def new_parts(self):
        """Return the evidence of a process that has just started."""
        return CrashingParts(source=f"process-{next(self.names)}")

    def restart(self, name):
        """Replace an instance's process; it forgets everything."""
        self.parts[name] = self.new_parts()
        self.in_flight = [r for r in self.in_flight if r["instance"] != name]

    def run(self, seconds):
        """Advance the clock."""
        for step in range(round(seconds / STEP)):
            self.now += STEP
            while self.rng.random() < self.rate * STEP / (1 + self.rate * STEP):
                self._request()
            self._finish()
            self._exchange(step)

    def _request(self):
        subject = f"subject-{self.rng.randrange(SUBJECTS)}"
        is_deadly = self.rng.random() < self.share
        shared = (subject, DEADLY) if is_deadly else (subject,)
        self._send(self.rng.choice(list(self.parts)), shared, attempt=1)

    def _send(self, name, shared, attempt):
        if self.parts[name].find_refused(shared, now=self.now) is not None:
            if DEADLY not in shared:
                self.refused_sound.append(self.now)
            return
        up = [n for n in self.engines if self.down_until.get(n, 0.0) <= self.now]
        if not up:
            return
        if DEADLY in shared:
            self.deadly_sends.append((self.now, name))
        self.in_flight.append(
            {
                "instance": name,
                "engine": self.rng.choice(up),
                "parts": shared,
                "sent": self.now,
                "due": self.now + SERVICE_TIME * self.rng.uniform(0.5, 1.5),
                "attempt": attempt,
            }
        )

    def _finish(self):
        for request in [r for r in self.in_flight if r["due"] <= self.now]:
            if request not in self.in_flight:
                continue
            if DEADLY in request["parts"]:
                self.crash_times.append(self.now)
                self.crash(request["engine"])
            else:
                self.in_flight.remove(request)
                self.answered.append(self.now)
                parts = self.parts[request["instance"]]
                parts.record_answer(request["parts"], now=self.now)
                self._record_response(parts, request)

    def _record_response(self, parts, request):
        engine = self.engines[request["engine"]]
        parts.record_response(engine, sent=request["sent"], now=self.now)

    def crash(self, engine):
        """End an engine and all that it works on; it is back later."""
        lost = [r for r in self.in_flight if r["engine"] == engine]
        incarnation = self.engines[engine]
        self.engines[engine] = f"e{engine}/{self.now:.2f}"
        self.down_until[engine] = self.now + RESTART_TIME
        self.lose(lost, incarnation)

    def reset_connections(self, share):
        """Cut requests off without a crash of their engines."""
        for request in [r for r in self.in_flight if self.rng.random() < share]:
            self.lose([request], self.engines[request["engine"]])

    def lose(self, requests, incarnation):
        """Let instances see that connections to an engine were closed."""
        self.in_flight = [r for r in self.in_flight if r not in requests]
        for request in requests:
            name = request["instance"]
            self.parts[name].record_crash(
                request["parts"], incarnation, sent=request["sent"], now=self.now
            )
            if request["attempt"] < MAX_ATTEMPTS:
                self._send(name, request["parts"], request["attempt"] + 1)

    def _exchange(self, step):
        if step % REPORT_STEPS == 0:
            full = step % FULL_REPORT_STEPS < REPORT_STEPS
            for name, parts in self.parts.items():
                parts.update(now=self.now)
                report = parts.make_report(now=self.now, full=full)
                if report is not None and name not in self.cut:
                    due = self.now + REPORT_DELAY
                    self.in_transit.append((due, parts.source, report))
        arrived = [entry for entry in self.in_transit if entry[0] <= self.now]
        self.in_transit = [e for e in self.in_transit if e[0] > self.now]
        for _due, source, report in arrived:
            for name, parts in self.parts.items():
                if parts.source != source and name not in self.cut:
                    parts.merge(source, report, now=self.now)
