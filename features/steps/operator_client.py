"""The official gRPC client, as the operators' tests use it."""

import grpc
from operator_server import TOKEN


def open_channel(context, address):
    """Let the scenario's calls go to ``address``."""
    context.channel = grpc.insecure_channel(str(address), [("grpc.enable_http_proxy", 0)])
    context.add_cleanup(context.channel.close)


def call(context, method, request, response, *, token=TOKEN, timeout=5, **options):
    rpc = context.channel.unary_unary(
        f"/limelever.v1.Operator/{method}",
        request_serializer=lambda m: m if isinstance(m, bytes) else m.SerializeToString(),
        response_deserializer=response.FromString,
    )
    metadata = [("authorization", f"Bearer {token}")] if token else []
    try:
        return rpc(request, metadata=metadata, timeout=timeout, **options)
    except grpc.RpcError as error:
        context.error = error
        return None
