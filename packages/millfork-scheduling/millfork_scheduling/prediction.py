"""
How long an engine will take to the first token of a request.

Prompts are read one after the other, and a request that finds all slots taken
waits until one comes free. The figures come with the operator's document, the
load from the endpoint daemon beside the engine, the time of a request from
those that this entry saw through.

"""

from typing import Final

from millfork_routing.documents import EngineSpec

# Without a request seen through: tokens come about this much slower than the
# engine's step alone, as prompts of others are read between them.
READING_SLOWDOWN: Final = 1.7
# The first token leaves with the pass in which the prompt's end is read.
PASSES_TO_FIRST: Final = 1.5


def read_ms(engine: EngineSpec, prompt_tokens: int) -> float:
    """
    Milliseconds that reading a prompt takes.

    """
    if engine.read_per_s <= 0:
        return 0.0
    pairs = prompt_tokens * prompt_tokens / 2 / 1_000_000
    return prompt_tokens * 1000 / engine.read_per_s + pairs * engine.pairs_ms_per_million


def usual_service_s(engine: EngineSpec) -> float:
    """
    Seconds that a usual request holds a slot, before any was seen.

    """
    return engine.usual_answer * engine.step_ms * READING_SLOWDOWN / 1000


def first_token_ms(
    engine: EngineSpec,
    prompt_tokens: int,
    occupied: int,
    unread: int,
    service_s: float,
    pace: float,
) -> float:
    """
    Milliseconds from a request's arrival at an engine to its first token,
    with `occupied` requests there, `unread` of them without a first token.

    """
    passes = PASSES_TO_FIRST * engine.step_ms * engine.steps_per_event
    reading = read_ms(engine, prompt_tokens)
    # Those that wait for a slot are not being read.
    in_slots = min(unread, engine.slots)
    ahead = max(in_slots - max(occupied - engine.slots, 0), 0)
    reading += ahead * read_ms(engine, engine.usual_prompt) / 2
    waiting = max(occupied + 1 - engine.slots, 0) * service_s * 1000 / max(engine.slots, 1)
    return (passes + reading) * max(pace, 1.0) + waiting
