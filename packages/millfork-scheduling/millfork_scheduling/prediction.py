"""
Prediction of an engine's time to the first token of a request.

An engine reads prompts one after the other, and a request that finds all slots occupied waits
for a free one. The engine spec comes from the operator's document, the load from the endpoint
daemon beside the engine, and the service time from this entry's completed requests.

"""

from typing import Final

from millfork_routing.documents import EngineSpec

# Before an entry's first request to an engine has completed, a token of an answer is assumed to
# take this many times `step_ms`, as prompts of other requests are read between the steps.
READING_SLOWDOWN: Final = 1.7
# How many passes of `steps_per_event` steps a request takes until its first token, which is sent
# with the pass that reads the end of the prompt.
PASSES_TO_FIRST: Final = 1.5


def read_ms(engine: EngineSpec, prompt_tokens: int) -> float:
    """
    The time to read a prompt, in ms; 0 if the spec gives no reading speed.

    """
    if engine.read_per_s <= 0:
        return 0.0
    pairs = prompt_tokens * prompt_tokens / 2 / 1_000_000
    return prompt_tokens * 1000 / engine.read_per_s + pairs * engine.pairs_ms_per_million


def usual_service_s(engine: EngineSpec) -> float:
    """
    The time that a usual request holds a slot, in seconds, by the engine spec alone.

    """
    return engine.usual_answer * engine.step_ms * READING_SLOWDOWN / 1000


def first_token_ms(
    engine: EngineSpec,
    prompt_tokens: int,
    occupied: int,
    awaiting_first_token: int,
    service_s: float,
    pace: float,
) -> float:
    """
    The time from a request's arrival at an engine to its first token, in ms, with `occupied`
    other requests there, `awaiting_first_token` of which have no first token yet. `service_s` is
    how long a request holds a slot, `pace` the slowness of the engine (above 1: slower than
    usual).

    """
    passes = PASSES_TO_FIRST * engine.step_ms * engine.steps_per_event
    reading = read_ms(engine, prompt_tokens)
    # Prompts of requests that wait for a slot are not being read.
    in_slots = min(awaiting_first_token, engine.slots)
    ahead = max(in_slots - max(occupied - engine.slots, 0), 0)
    reading += ahead * read_ms(engine, engine.usual_prompt) / 2
    waiting = max(occupied + 1 - engine.slots, 0) * service_s * 1000 / max(engine.slots, 1)
    return (passes + reading) * max(pace, 1.0) + waiting
