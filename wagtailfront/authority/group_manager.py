"""Component that manages the leases and changes of all groups."""

from circuits import BaseComponent, handler

from wagtailfront.authority.change_runner import ChangeRunner, targets_wanted
from wagtailfront.authority.config_manager import snapshot_lease
from wagtailfront.authority.config_state import EMPTY
from wagtailfront.authority.engine_groups import group_parts, wanted_targets
from wagtailfront.authority.group_machine import GroupMachine
from wagtailfront.authority.lease import candidates
from wagtailfront.authority.lease_manager import LeaseManager
from wagtailfront.identifiers import new_id
from wagtailfront.membership.heartbeats import config_requested

__all__ = ["GroupManager", "SNAPSHOT_LEASE"]

SNAPSHOT_LEASE = "config-snapshot"
# Fields of the configuration that groups and their targets depend on.
WATCHED_FIELDS = ("engines", "engine_marks", "services", "roster")


class GroupManager(BaseComponent):
    """Starts a lease manager per group and a change runner per service in it.

    Parameters
    ----------
    incarnation : str
    table : TableStore
    engines : EnginePort
    marks : DrainMarks
    clock : callable
        Returns seconds that also count while the machine sleeps.

    Notes
    -----
    Two live instances, chosen by rendezvous hashing, are candidates for each
    lease: one holds it, the other takes over when it expires.
    """

    channel = "authority"

    def __init__(self, *, incarnation, table, engines, marks, clock):
        super().__init__()
        self.incarnation = incarnation
        self.table = table
        self.engines = engines
        self.marks = marks
        self.clock = clock
        self.config = EMPTY
        self.other_members = ()
        self.gone = frozenset()
        self.leaving = False
        self.lease_managers = {}
        self.runners = {}
        self._update_leases()
        self.fire(config_requested(), "*")

    def held_groups(self):
        """Return the fencing numbers of the leases held now, by group."""
        grants = {
            group: lease_manager.grant()
            for group, lease_manager in self.lease_managers.items()
        }
        return {
            group: grant.fencing for group, grant in grants.items() if grant is not None
        }

    def held_engines(self):
        """Return fencing number and engines of each group held now."""
        held = self.held_groups()
        names = {group: [] for group in held}
        for group, part in self.runners:
            if group in held:
                engines = self.runners[group, part].part.engines
                names[group] += [name for name, _checks in engines]
        return {group: (held[group], names[group]) for group in held if names[group]}

    def change_steps(self):
        """Return the step of each engine's change, for the groups held now."""
        return {
            engine: change.step
            for runner in self.runners.values()
            if runner.lease_manager.grant() is not None
            for engine, change in runner.machine.changes().items()
        }

    def _add_lease_manager(self, group):
        self.lease_managers[group] = LeaseManager(
            group=group,
            instance=self.incarnation,
            store=self.table,
            clock=self.clock,
            wakes_itself=False,
        ).register(self)

    def _groups_wanted(self, groups):
        """Return the groups for whose lease this instance is a candidate.

        Candidates are ranked over the whole roster, so that each group has two
        whatever the number of instances.
        """
        if self.leaving:
            return set()
        live = set(self.config.roster) - self.gone or set(self.other_members)
        names = sorted(live | {self.incarnation})
        return {
            group for group in groups if self.incarnation in candidates(group, names)
        }

    def _update_leases(self):
        """Request the leases of which this instance is a candidate."""
        found = group_parts(self.config)
        wanted = self._groups_wanted({SNAPSHOT_LEASE, *(part.group for part in found)})
        parts = {
            (part.group, part.service): part for part in found if part.group in wanted
        }
        for group in wanted:
            if group not in self.lease_managers:
                self._add_lease_manager(group)
            self.lease_managers[group].want(True)
        for group in set(self.lease_managers) - wanted:
            self.lease_managers[group].want(False)
        self._update_runners(parts)

    def _update_runners(self, parts):
        for key in set(self.runners) - set(parts):
            self.runners.pop(key).close()
        for key, part in parts.items():
            if key not in self.runners or self.runners[key].part != part:
                self._start_runner(key, part)
        targets, revisions = wanted_targets(self.config)
        event = targets_wanted(self.config.version, targets, revisions)
        self.fire(event, "authority")

    @handler("lease_released")
    def _on_lease_released(self, group):
        """Close a lease manager that is no longer needed."""
        if group in self.lease_managers and not self._groups_wanted({group}):
            self.lease_managers.pop(group).close()

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event):
        """Step the lease managers and runners whose timers are due."""
        children = (*self.lease_managers.values(), *self.runners.values())
        now = self.clock()
        for child in children:
            if child.wake_at is not None and now >= child.wake_at:
                child.wake_if_due(now)
        times = [child.wake_at for child in children if child.wake_at is not None]
        if times:
            event.reduce_time_left(max(0.0, min(times) - self.clock()))

    @handler("members_changed", channel="*")
    def _on_members_changed(self, members):
        self.other_members = tuple(
            member.incarnation
            for member in members
            if member.incarnation != self.incarnation
        )
        self._update_leases()

    @handler("members_gone", channel="*")
    def _on_members_gone(self, incarnations):
        self.gone = frozenset(incarnations)
        self._update_leases()

    @handler("start_leaving", channel="*")
    def _on_start_leaving(self):
        self.leaving = True

    @handler("release_leases", channel="*")
    def _on_release_leases(self):
        self.leaving = True
        self._update_leases()

    @handler("config_applied", channel="*")
    def _on_config_applied(self, config):
        known, self.config = self.config, config
        if any(
            getattr(config, field) != getattr(known, field) for field in WATCHED_FIELDS
        ):
            self._update_leases()

    def _start_runner(self, key, part):
        """Start a runner; it replaces one with other engines or limits."""
        if key in self.runners:
            self.runners.pop(key).close()
        machine = GroupMachine(
            limits=part.limits, engines=dict(part.engines), new_id=new_id
        )
        runner = ChangeRunner(
            group=part.group,
            machine=machine,
            lease_manager=self.lease_managers[part.group],
            engines=self.engines,
            marks=self.marks,
            store=self.table,
            clock=self.clock,
            wakes_itself=False,
        )
        runner.part = part
        self.runners[key] = runner.register(self)

    @handler("lease_acquired", "lease_lost")
    def _on_lease(self, group, *_fencing):
        if group == SNAPSHOT_LEASE:
            held = self.lease_managers[group].grant() is not None
            self.fire(snapshot_lease(held), "*")
