"""
Generates `docs/SETTINGS.md` from the definitions of the settings.

Run `python -m millfork_settings.document > docs/SETTINGS.md` after changing a setting.

"""

from enum import Enum
from typing import Any, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from millfork_settings.models import Settings
from millfork_settings.seeded import SeededSettings

HEAD = """# Settings of millforkd

Generated from the definitions in `millfork_settings.models`; do not edit by hand.
Generate it again with `python -m millfork_settings.document > docs/SETTINGS.md`.
`millfork check FILE` checks a settings file without a fleet.

| key | type | default | meaning |
|---|---|---|---|
"""


SEEDED_HEAD = """
## Daemons that find the others from seeds

Generated from `millfork_settings.seeded`. Unknown keys are ignored there.

| key | type | default | meaning |
|---|---|---|---|
"""


def document() -> str:
    """
    Return the text of `docs/SETTINGS.md`.

    """
    listed = '\n'.join(_rows(Settings, ''))
    seeded = '\n'.join(_rows(SeededSettings, ''))
    return f'{HEAD}{listed}\n{SEEDED_HEAD}{seeded}\n'


def _rows(model: type[BaseModel], prefix: str) -> list[str]:
    rows = []
    for name, info in model.model_fields.items():
        key = f'{prefix}{name}'
        nested = _nested(info.annotation)
        rows.append(f'| `{key}` | {_type(info.annotation)} | {_default(info)} | {_meaning(info)} |')
        if nested is not None:
            separator = '[].' if get_origin(info.annotation) is list else '.'
            rows += _rows(nested, key + separator)
    return rows


def _nested(annotation: Any) -> type[BaseModel] | None:
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _type(annotation: Any) -> str:
    if _nested(annotation) is not None:
        return 'list' if get_origin(annotation) is list else 'section'
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return ' or '.join(f'`{member.value}`' for member in annotation)
    options = [option for option in get_args(annotation) if option is not type(None)]
    return str(getattr(options[0] if options else annotation, '__name__', annotation))


def _default(info: FieldInfo) -> str:
    if info.is_required():
        return 'required'
    if info.default_factory is not None or info.default is None:
        return ''
    return f'`{info.default}`'


def _meaning(info: FieldInfo) -> str:
    limits = [
        f'{name} {value}'
        for item in info.metadata
        for name, value in (('at least', _limit(item, 'ge')), ('at most', _limit(item, 'le')))
        if value is not None
    ]
    text = info.description or ''
    return f'{text} ({", ".join(limits)})' if limits else text


def _limit(item: Any, name: str) -> Any:
    return getattr(item, name, None)


if __name__ == '__main__':
    print(document(), end='')
