import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_wire import codec, messages
from millfork_wire.codec import BadFrame, Frame, FrameKind


def round_trip(frame: Frame) -> Frame:
    data = codec.encode(frame)
    header = codec.parse_header(data[: codec.LENGTH_BYTES])
    assert header.length == len(data) - codec.LENGTH_BYTES
    assert not header.more
    return codec.decode(data[codec.LENGTH_BYTES :], header.packed)


@given(
    st.integers(0, 2**64 - 1),
    st.sampled_from(FrameKind),
    st.lists(st.tuples(st.text(), st.binary(), st.integers(0, 2**32)), max_size=4),
    st.lists(st.text(), max_size=4),
)
def test_decoding_returns_the_encoded_frame(number, kind, items, removed):
    update = messages.Update(
        'cluster', 1, 2, True, [messages.Item(*item) for item in items], removed
    )
    assert round_trip(Frame(number, kind, update)) == Frame(number, kind, update)


def test_every_message_of_the_union_is_decoded_as_encoded():
    for cls in codec._CLASSES.values():
        frame = Frame(1, FrameKind.REQUEST, cls())
        assert round_trip(frame) == frame


@given(st.binary(max_size=200), st.booleans())
def test_decoding_any_bytes_raises_at_most_bad_frame(data, packed):
    try:
        codec.decode(data, packed)
    except BadFrame:
        return


def test_an_oversized_message_is_not_sent():
    chunk = messages.Chunk(True, bytes(codec.MAX_FRAME_BYTES + 1))
    with pytest.raises(BadFrame, match='over the limit'):
        codec.encode(Frame(0, FrameKind.REPLY, chunk))
