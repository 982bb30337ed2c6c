"""Resources that the operators' tests write."""

from limelever.protocol.config_pb2 import Resource, Route, Secret, Service, Share, Tenant
from limelever.protocol.keys import parse_key
from limelever.protocol.tenant_keys import digest_of

SECRET_VALUE = b"hush-hush-value"


def service(name):
    return Resource(service=Service(name=name))


def route(name, to, *secrets, prefix=None, methods=()):
    body = Route(name=name, service=to, path_prefix=prefix or f"/{name}", call_kind=1)
    body.secrets.extend(secrets)
    body.methods.extend(methods)
    return Resource(route=body)


def share(to, group, weight=1):
    return Resource(share=Share(service=to, group=group, weight=weight))


def secret(name, value=SECRET_VALUE, header="X-Key"):
    return Resource(secret=Secret(name=name, header=header, value=value))


def tenant(name, *keys, **fields):
    digests = [digest_of(key.encode()) for key in keys]
    return Resource(tenant=Tenant(name=name, key_digests=digests, **fields))


def key_message(text):
    return parse_key(text).to_message()
