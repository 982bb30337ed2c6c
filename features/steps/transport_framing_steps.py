"""Steps for the properties of frames."""

from __future__ import annotations

import zstandard
from behave import then
from google.protobuf.message import Message
from google.protobuf.message_factory import GetMessageClass
from hypothesis import given as for_all
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from limelever.common.errors import Failure
from limelever.common.framing import LENGTH_PREFIX, FrameReader, decode_payload, encode_frame
from limelever.protocol.calls_pb2 import CallBody
from limelever.protocol.link_pb2 import Frame, HelloAnswer

for_examples = property_settings(derandomize=True, max_examples=300, deadline=None)
MESSAGES = st.one_of(
    st.builds(CallBody, stream=st.integers(0, 2**32 - 1), data=st.binary(max_size=300)),
    st.builds(HelloAnswer, accepted=st.booleans(), reason=st.text(max_size=100)),
)


def read_all(reader: FrameReader, chunks) -> list[bytes] | Failure:
    payloads = []
    for chunk in chunks:
        reader.feed(chunk)
        while (payload := reader.next_payload()) is not None:
            if isinstance(payload, Failure):
                return payload
            payloads.append(payload)
    return payloads


@then("any message comes back from its frame, however the stream is cut")
def then_round_trip(context):
    @for_examples
    @for_all(st.lists(MESSAGES, max_size=5), st.integers(1, 40), st.sampled_from([0, 1, 100]))
    def check(messages, chunk, threshold):
        data = b"".join(encode_frame(message, threshold) for message in messages)
        chunks = [data[start : start + chunk] for start in range(0, len(data), chunk)]
        payloads = read_all(FrameReader(), chunks)
        assert not isinstance(payloads, Failure)
        assert [decode_payload(payload) for payload in payloads] == messages

    check()


@then("a frame around any message has the bytes that protobuf writes for it")
def then_as_protobuf_writes(context):
    bodies = {f.message_type.full_name: f for f in Frame.DESCRIPTOR.fields if f.message_type}

    def check(message, field_name):
        frame = Frame()
        getattr(frame, field_name).CopyFrom(message)
        assert encode_frame(message)[LENGTH_PREFIX.size :] == frame.SerializeToString()

    for field in bodies.values():
        check(GetMessageClass(field.message_type)(), field.name)

    @for_examples
    @for_all(MESSAGES)
    def check_drawn(message):
        check(message, bodies[message.DESCRIPTOR.full_name].name)

    check_drawn()
    for size in (0, 100, 127, 128, 16383, 16384, 1 << 21):
        check(CallBody(data=b"x" * size), "call_body")


@then("any bytes are read as frames or refused, never a fault")
def then_any_bytes(context):
    @for_examples
    @for_all(st.lists(st.binary(max_size=80), max_size=5))
    def check(chunks):
        payloads = read_all(FrameReader(limit=64), chunks)
        if isinstance(payloads, Failure):
            return
        for payload in payloads:
            assert isinstance(decode_payload(payload, 64), Message | Failure)

    check()


@then("any bytes within a frame are a message or a failure, never a fault")
def then_any_payload(context):
    zstd_frames = st.binary(max_size=60).map(lambda data: zstandard.compress(data))
    packed = st.one_of(st.binary(max_size=60), zstd_frames)
    wrapped = packed.map(lambda data: Frame(compressed=data).SerializeToString())

    @for_examples
    @for_all(st.one_of(st.binary(max_size=80), wrapped), st.integers(0, 100))
    def check(payload, limit):
        assert isinstance(decode_payload(payload, limit), Message | Failure)

    check()


@then("a reader never keeps more than its limit and one chunk")
def then_reader_bounded(context):
    @for_examples
    @for_all(st.lists(st.binary(max_size=80), max_size=10))
    def check(chunks):
        reader = FrameReader(limit=64)
        for chunk in chunks:
            reader.feed(chunk)
            while isinstance(payload := reader.next_payload(), bytes):
                pass
            assert len(reader._buffer) <= LENGTH_PREFIX.size + 64 + len(chunk)
            if isinstance(payload, Failure):
                return

    check()
