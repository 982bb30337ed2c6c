"""What steps on readers share: their settings, and that none has gone backward."""

from distribution_harness import names

from limelever.subscriber.settings import SubscriberSettings


def reader_settings(mesh, services, publishers):
    addresses = tuple(mesh.network.address(name) for name in names(publishers))
    return SubscriberSettings(publishers=addresses, services=tuple(names(services)))


def check_monotone(mesh, name):
    versions = [v for host in mesh.readers[name] for v in host.versions if v]
    assert versions == sorted(versions), versions
