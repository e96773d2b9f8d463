"""
Reads YAML files into validated models, and secrets from files.

"""

from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from millfork_settings.errors import BadFile, Problem, find_problems

Model = TypeVar('Model', bound=BaseModel)


def read_yaml(path: Path) -> Any:
    """
    Return the parsed content of a YAML file.

    :raises BadFile: if the file can't be read or isn't YAML.

    """
    try:
        return yaml.safe_load(path.read_text())
    except OSError as error:
        raise BadFile(path, [Problem('(whole file)', error.strerror or str(error))]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        detail = ' '.join(str(error).split())
        raise BadFile(path, [Problem('(whole file)', f'YAML expected: {detail}')]) from error


def load(path: Path, model: type[Model]) -> Model:
    """
    Read a YAML file into a validated model.

    :raises BadFile: if the file can't be read or is invalid; lists all problems found.

    """
    content = read_yaml(path)
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise BadFile(path, find_problems(error)) from error


def read_secret(path: Path) -> bytes:
    """
    Read a secret from its file, without surrounding white space.

    :raises BadFile: if the file can't be read or is empty.

    """
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise BadFile(path, [Problem('(secret)', error.strerror or str(error))]) from error
    if not secret:
        raise BadFile(path, [Problem('(secret)', 'a secret expected, the file is empty')])
    return secret
