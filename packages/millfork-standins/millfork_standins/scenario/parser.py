"""
Parses scenario files into steps with lark.

"""

from collections.abc import Callable
from importlib.resources import files
from pathlib import Path
from typing import Any, Final

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from millfork_standins.scenario import steps
from millfork_standins.scenario.steps import Step

_PARSER: Final = Lark(
    (files('millfork_standins') / 'scenario' / 'grammar.lark').read_text(),
    parser='earley',
    propagate_positions=True,
)


class ScenarioSyntaxError(Exception):
    """
    A scenario file has a syntax error; the message names file, line and column.

    """


def parse(path: Path) -> list[Step]:
    """
    Parse the steps of a scenario file.

    :raises ScenarioSyntaxError: if the file contains an invalid step.

    """
    try:
        tree = _PARSER.parse(path.read_text())
    except UnexpectedInput as error:
        raise ScenarioSyntaxError(
            f'{path}:{error.line}:{error.column}: not a valid step'
        ) from error
    return [_build_step(child) for child in tree.children if isinstance(child, Tree)]


def _build_step(tree: Tree[Any]) -> Step:
    words = [str(child) for child in tree.children if isinstance(child, Token)]
    line = 0 if tree.meta.empty else tree.meta.line
    return STEP_BUILDERS[str(tree.data)](line, words, tree)


def _wait_timeout_s(tree: Tree[Any]) -> float:
    return float(next(tree.find_data('bound')).children[0])


def _parse_pairs(tree: Tree[Any]) -> tuple[tuple[int, int], ...]:
    return tuple((int(pair.children[0]), int(pair.children[1])) for pair in tree.find_data('pair'))


Builder = Callable[[int, list[str], Tree[Any]], Step]


def _with_word(cls: Callable[[int, str], Step]) -> Builder:
    return lambda line, words, tree: cls(line, words[0])


def _without_arguments(cls: Callable[[int], Step]) -> Builder:
    return lambda line, words, tree: cls(line)


def _with_pairs(cls: Callable[[int, tuple[tuple[int, int], ...]], Step]) -> Builder:
    return lambda line, words, tree: cls(line, _parse_pairs(tree))


def _wait_with_word(cls: Callable[[int, float, str], Step]) -> Builder:
    return lambda line, words, tree: cls(line, _wait_timeout_s(tree), words[0])


def _wait_with_count(cls: Callable[[int, float, int], Step]) -> Builder:
    return lambda line, words, tree: cls(line, _wait_timeout_s(tree), int(words[0]))


def _fleet(line: int, words: list[str], tree: Tree[Any]) -> Step:
    options = {str(o.children[0]): str(o.children[1]) for o in tree.find_data('fleet_option')}
    return steps.MakeFleet(line, words[0], options)


def _wait_serving(line: int, words: list[str], tree: Tree[Any]) -> Step:
    return steps.WaitServing(line, _wait_timeout_s(tree), words[0], int(words[1]))


def _wait_in_force(line: int, words: list[str], tree: Tree[Any]) -> Step:
    return steps.WaitInForce(line, _wait_timeout_s(tree), tuple(words))


def _expect_copies(line: int, words: list[str], tree: Tree[Any]) -> Step:
    return steps.ExpectCopies(line, words[0], words[1], float(words[2]))


STEP_BUILDERS: Final[dict[str, Builder]] = {
    'fleet': _fleet,
    'start_all': _without_arguments(steps.StartAll),
    'start_instance': _with_word(steps.StartInstance),
    'stop': _with_word(steps.Stop),
    'kill': _with_word(steps.Kill),
    'freeze': _with_word(steps.Freeze),
    'thaw': _with_word(steps.Thaw),
    'lose_disk': _with_word(steps.LoseDisk),
    'tear_log': _with_word(steps.TearLog),
    'leave': _with_word(steps.Leave),
    'deafen': _with_word(steps.Deafen),
    'cut': _with_pairs(steps.Cut),
    'stall_links': _with_pairs(steps.StallLinks),
    'heal': _without_arguments(steps.Heal),
    'corrupt': lambda line, words, tree: steps.Corrupt(line, float(words[0])),
    'stall_origin': lambda line, words, tree: steps.StallOrigin(line, words[0] == 'on'),
    'change_version': lambda line, words, tree: steps.ChangeVersion(line, words[0], int(words[1])),
    'organisations': _without_arguments(steps.ApplyOrganisations),
    'apply': _with_word(steps.ApplyDeployment),
    'apply_many': lambda line, words, tree: steps.ApplyMany(line, int(words[0])),
    'callers': lambda line, words, tree: steps.StartCallers(line, int(words[0]), tuple(words[1:])),
    'halt_callers': _without_arguments(steps.HaltCallers),
    'call': lambda line, words, tree: steps.Call(line, words[0], words[1]),
    'wait_serving': _wait_serving,
    'wait_ready': _wait_with_word(steps.WaitReady),
    'wait_exit': _wait_with_word(steps.WaitExit),
    'wait_idle': _wait_with_word(steps.WaitIdle),
    'wait_in_force': _wait_in_force,
    'wait_voters': _wait_with_count(steps.WaitVoters),
    'wait_answers': _wait_with_count(steps.WaitAnswers),
    'expect_clean': _without_arguments(steps.ExpectClean),
    'expect_uncut': _without_arguments(steps.ExpectUncut),
    'expect_no_leader': lambda line, words, tree: steps.ExpectNoLeader(line, int(words[0])),
    'expect_copies': _expect_copies,
    'expect_answer': _with_word(steps.ExpectAnswer),
    'expect_new_work': lambda line, words, tree: steps.ExpectNewWork(line, words[0], int(words[1])),
}
