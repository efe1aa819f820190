"""Announcements of instances in the platform's store."""

from wagtailfront.forwarding.interfaces import InstanceRow
from wagtailfront.platform.calls import describe_failure
from wagtailfront.platform.rows import read_instance_address
from wagtailfront.platform.skipped_rows import SkippedRows

__all__ = ["StoreMembership"]

INSTANCE_TABLE = "instances"


class StoreMembership:
    """Implements `MembershipStore` on the table of instances."""

    def __init__(self, *, client, log):
        self.client = client
        self.log = log
        self.skipped = SkippedRows(kind="instance_skipped", log=log)

    def announce(self, row, reply):
        """Write an instance's address."""

        def on_response(status, body):
            if status != 200:
                reason = describe_failure(status, body)
                self.log.decision("announcement", outcome="failed", reason=reason)
            reply(status == 200)

        self.client.put(INSTANCE_TABLE, row.instance, row.address.encode(), on_response)

    def read(self, reply):
        """Read the instances' addresses."""

        def on_rows(rows, reason):
            if rows is None:
                self.log.decision("instances", outcome="unknown", reason=reason)
                reply(None)
            else:
                reply(self._read_instances(rows.rows))

        self.client.read_table(INSTANCE_TABLE, on_rows)

    def _read_instances(self, rows):
        instances, skipped = [], {}
        for row in rows:
            try:
                address = read_instance_address(row)
            except ValueError as error:
                skipped[row.key] = str(error)
                continue
            version = self.client.position(row.ver)
            instances.append(InstanceRow(row.key, address, version))
        self.skipped.replace(skipped)
        return instances
