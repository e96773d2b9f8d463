"""
Encoding and decoding of frames with pycapnp. The schema is loaded at run time.

"""

import re
from dataclasses import dataclass, fields
from enum import IntEnum
from importlib.resources import files
from typing import Any, Final, get_args, get_origin, get_type_hints

import capnp

from millfork_wire import messages
from millfork_wire.messages import Message
from millfork_wire.priorities import Priority, priority_of

LENGTH_BYTES: Final = 4
MAX_HELLO_BYTES: Final = 1024
MAX_FRAME_BYTES: Final = 48 * 1024 * 1024
# The upper bits of the length prefix are flags. `PACKED_FLAG` is set if the body has Cap'n Proto's
# packed encoding, which shortens messages with many zeros, and `MORE_FLAG` if further fragments of
# the same frame follow. The two bits from `PRIORITY_SHIFT` on are the priority.
PACKED_FLAG: Final = 1 << 31
MORE_FLAG: Final = 1 << 30
PRIORITY_SHIFT: Final = 28
LENGTH_MASK: Final = (1 << PRIORITY_SHIFT) - 1
PRIORITY_MASK: Final = 3
# Messages with weights or snapshots, for which packing would only cost time.
UNPACKED: Final = frozenset({messages.Chunk, messages.InstallRequest, messages.PushChunk})


class FrameKind(IntEnum):
    """
    Kind of a frame: a request is answered with one reply, an event with none.

    """

    REQUEST = 0
    REPLY = 1
    EVENT = 2


class BadFrame(Exception):
    """
    Bytes are not a frame of this protocol, or a frame is too large.

    """


@dataclass(frozen=True, slots=True)
class Header:
    """
    The length prefix of a frame or of one of its fragments. `length` is that of the body in bytes.

    """

    length: int
    priority: Priority
    packed: bool
    more: bool


@dataclass(slots=True)
class Frame:
    """
    One message with its id and kind. A reply has the id of its request; the id of an event is 0.

    """

    id: int
    kind: FrameKind
    message: Message


def _camel(name: str) -> str:
    return re.sub(r'_([a-z])', lambda match: match.group(1).upper(), name)


_schema = capnp.load(str(files('millfork_wire') / 'millfork.capnp'))


# The members `preVote` and `vote` of a frame share the struct `VoteRequest` in the schema. They
# need separate classes here, as the class of a message determines the member.
@dataclass(slots=True)
class PreVote(messages.VoteRequest):
    """
    Asks whether the receiver would grant its vote; neither side changes its term.

    """


def _message_classes() -> dict[str, type[Message]]:
    """
    The message class of each member of the frame's union, by member name. Except for `PreVote`,
    a class has the same name as the struct of its member.

    """
    found: dict[str, type[Message]] = {}
    for name, member in _schema.Frame.schema.fields.items():
        if name in ('id', 'kind'):
            continue
        struct = member.schema.node.displayName.rpartition(':')[2]
        found[name] = getattr(messages, struct)
    found['preVote'] = PreVote
    return found


_CLASSES: Final = _message_classes()
_NAMES: Final = {cls: name for name, cls in _CLASSES.items()}


def _field_plan(cls: type[Message]) -> list[tuple[str, str, Any]]:
    """
    The fields of a message class: for each, its name, its name in the schema, and its type (for a
    list, the type of the elements).

    """
    hints = get_type_hints(cls)
    plan = []
    for field in fields(cls):  # type: ignore[arg-type]
        annotation = hints[field.name]
        item_type = get_args(annotation)[0] if get_origin(annotation) is list else None
        plan.append((field.name, _camel(field.name), item_type or annotation))
    return plan


_PLANS: Final[dict[type[Message], list[tuple[str, str, Any]]]] = {}


def _cached_field_plan(cls: type[Message]) -> list[tuple[str, str, Any]]:
    plan = _PLANS.get(cls)
    if plan is None:
        plan = _field_plan(cls)
        _PLANS[cls] = plan
    return plan


def _to_wire(message: Message) -> dict[str, Any]:
    wire = {}
    for name, wire_name, _ in _cached_field_plan(type(message)):
        value = getattr(message, name)
        if isinstance(value, list) and value and isinstance(value[0], Message):
            value = [_to_wire(element) for element in value]
        wire[wire_name] = value
    return wire


def _from_wire(cls: type[Message], reader: Any) -> Message:
    values: dict[str, Any] = {}
    for name, wire_name, item_type in _cached_field_plan(cls):
        value = getattr(reader, wire_name)
        if isinstance(value, (str, int, bool)):
            values[name] = value
            continue
        if item_type is bytes:
            values[name] = bytes(value)
            continue
        if item_type is str:
            values[name] = [str(element) for element in value]
            continue
        values[name] = [_from_wire(item_type, element) for element in value]
    return cls(**values)


def encode(frame: Frame) -> bytes:
    """
    Encode a frame as length-prefixed bytes.

    :raises BadFrame: if the body is over `MAX_FRAME_BYTES`.

    """
    name = _NAMES[type(frame.message)]
    built = _schema.Frame.new_message(
        id=frame.id,
        kind=int(frame.kind),
        **{name: _to_wire(frame.message)},
    )
    packed = type(frame.message) not in UNPACKED
    body: bytes = built.to_bytes_packed() if packed else built.to_bytes()
    if len(body) > MAX_FRAME_BYTES:
        raise BadFrame(f'a {name} message of {len(body)} bytes is over the limit')
    return encode_header(len(body), priority_of(frame.message), packed) + body


def encode_header(length: int, priority: Priority, packed: bool, more: bool = False) -> bytes:
    number = length | priority << PRIORITY_SHIFT | packed * PACKED_FLAG | more * MORE_FLAG
    return number.to_bytes(LENGTH_BYTES, 'big')


def parse_header(header: bytes) -> Header:
    """
    Decode a length prefix.

    :raises BadFrame: if it names no priority.

    """
    number = int.from_bytes(header, 'big')
    try:
        priority = Priority(number >> PRIORITY_SHIFT & PRIORITY_MASK)
    except ValueError as error:
        raise BadFrame(str(error)) from error
    return Header(
        number & LENGTH_MASK, priority, bool(number & PACKED_FLAG), bool(number & MORE_FLAG)
    )


def decode(body: bytes, packed: bool) -> Frame:
    """
    Decode the frame in `body` (without its length prefix).

    :raises BadFrame: if the bytes are not a frame, or the message type is unknown.

    """
    try:
        if packed:
            return _read(_schema.Frame.from_bytes_packed(body))
        with _schema.Frame.from_bytes(body) as reader:
            return _read(reader)
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise BadFrame(str(error).split('\n', 1)[0]) from error


def _read(reader: Any) -> Frame:
    name = str(reader.which())
    message = _from_wire(_CLASSES[name], getattr(reader, name))
    return Frame(reader.id, FrameKind(reader.kind), message)
