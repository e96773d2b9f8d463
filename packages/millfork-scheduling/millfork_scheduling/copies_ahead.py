"""
Whether the caches of a zone fetch the weights before any engine asks for them.

Answers the load of a rush: engines are added while callers come in numbers, and wait until the
origin has sent one copy of the weights, as the caches are empty. With a copy in each zone they wait
only for the links of their own instances. A copy costs bytes of the origin and between regions,
also where no engine is added; so it is kept only where the origin is slow.

"""

from millfork_routing.documents import EngineSpec, OriginSpec


def copy_s(engine: EngineSpec, origin: OriginSpec) -> float:
    """
    The time that the origin needs to send one copy of the weights, in seconds; 0 if the document
    doesn't tell.

    """
    if origin.bytes_per_s <= 0:
        return 0.0
    return engine.pieces * engine.piece_bytes / origin.bytes_per_s


def keeps_copy_ahead(
    engine: EngineSpec | None, origin: OriginSpec | None, min_copy_s: float | None
) -> bool:
    """
    Whether the caches keep a copy ahead of need: the origin needs `min_copy_s` seconds or longer
    for one copy. None turns this off.

    """
    if engine is None or origin is None or min_copy_s is None:
        return False
    seconds = copy_s(engine, origin)
    return seconds > 0 and seconds >= min_copy_s
