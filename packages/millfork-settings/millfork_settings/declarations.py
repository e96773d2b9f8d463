"""
Declarations: files that operators keep in version control and apply to a fleet.

"""

from typing import Annotated

from pydantic import Field

from millfork_settings.common import Name, StrictModel

LabelValue = Annotated[str, Field(pattern=r'^[A-Za-z0-9._-]{1,63}$')]
TokenHash = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
Selector = dict[str, LabelValue | list[LabelValue]]


class OrganisationSpec(StrictModel):
    """
    The tokens, services and share of an organisation. Only the administrator may apply it.

    """

    caller_tokens: list[TokenHash] = Field(default_factory=list)
    operator_tokens: list[TokenHash] = Field(default_factory=list)
    services: list[Name] = Field(default_factory=list)
    share: int = Field(1, ge=1, le=1000)


class VersionSpec(StrictModel):
    """
    One version of a model or adapter.

    """

    name: Name
    version: Name


class DeploymentSpec(StrictModel):
    """
    The weights that the instances matching the selector should serve.

    """

    model: Name
    version: Name
    adapters: list[VersionSpec] = Field(default_factory=list)
    selector: Selector = Field(min_length=1)


class Declaration(StrictModel):
    """
    The content of a declaration file.

    """

    organisation: Name | None = None
    organisations: dict[Name, OrganisationSpec] = Field(default_factory=dict)
    labels: dict[Name, dict[Name, LabelValue]] = Field(default_factory=dict)
    deployments: dict[Name, DeploymentSpec] = Field(default_factory=dict)
    drains: dict[Name, bool] = Field(default_factory=dict)
