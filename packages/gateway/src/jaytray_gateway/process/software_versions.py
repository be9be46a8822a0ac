"""Software versions of each service's targets, now and a short time ago.

A stream has to go on at the version that began it. While all targets of a service have
had one version for longer than a stream lasts, every stream began at that one. Members
that start while there are several learn of those that are gone from records.
"""

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.directory import Directory

# How long a version is remembered after its last target has gone. Longer than a stream
# lasts, including the time until its caller continues it.
VERSION_MEMORY_S = 120.0
# Between service and version in the item of a record.
_SEPARATOR = "\0"


class SoftwareVersions:
    """The versions at which streams that callers may still continue have begun."""

    def __init__(self, *, directory: Directory, clock: MonotonicClock) -> None:
        self._directory = directory
        self._clock = clock
        self._present_by_service: dict[str, frozenset[str]] = {}
        self._seen_at_s_by_service: dict[str, dict[str, float]] = {}
        self._recorded: set[tuple[str, str]] = set()
        directory.on_change(self.update)

    def update(self) -> None:
        """Note the versions of the registered targets."""
        now_s = self._clock()
        present: dict[str, set[str]] = {}
        for target in self._directory.targets_by_id.values():
            present.setdefault(target.service, set()).add(target.software_version)
        before = self._present_by_service
        self._present_by_service = {
            service: frozenset(versions) for service, versions in present.items()
        }
        for service, versions in (before | self._present_by_service).items():
            seen = self._seen_at_s_by_service.get(service, {})
            seen |= dict.fromkeys(versions | before.get(service, frozenset()), now_s)
            self._seen_at_s_by_service[service] = {
                version: seen_at_s
                for version, seen_at_s in seen.items()
                if seen_at_s > now_s - VERSION_MEMORY_S
            }
            if before.get(service) != self._present_by_service.get(service):
                get_logger().info(
                    "software_versions_changed",
                    service=service,
                    present=",".join(sorted(present.get(service, ()))),
                    recent=",".join(sorted(self.recent(service))),
                )

    def recent(self, service: str) -> frozenset[str]:
        """Return the versions that targets of the service have or had recently."""
        oldest_s = self._clock() - VERSION_MEMORY_S
        seen = self._seen_at_s_by_service.get(service, {})
        return (
            self._present_by_service.get(service, frozenset())
            | {version for version, seen_at_s in seen.items() if seen_at_s > oldest_s}
            | {version for name, version in self._recorded if name == service}
        )

    def is_mixed(self, service: str) -> bool:
        """Return whether the service has several recent versions."""
        return len(self.recent(service)) > 1

    def mixed_services(self) -> frozenset[str]:
        """Return the services with several recent versions."""
        return frozenset(filter(self.is_mixed, self._seen_at_s_by_service))

    def recordable(self) -> frozenset[str]:
        """Return the versions of mixed services as items of records."""
        return frozenset(
            service + _SEPARATOR + version
            for service in self.mixed_services()
            for version in self.recent(service)
        )

    def add_recorded(self, item: str) -> None:
        """Remember a version that another member has recorded."""
        service, _, version = item.partition(_SEPARATOR)
        self._recorded.add((service, version))

    def end_recorded(self, item: str) -> None:
        """Forget a version whose record has expired, unless it was seen recently."""
        service, _, version = item.partition(_SEPARATOR)
        self._recorded.discard((service, version))
