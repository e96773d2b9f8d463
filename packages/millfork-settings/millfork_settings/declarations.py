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
    The tokens and services of an organisation, and its share: its weight when organisations
    compete for the slots of a back end. Only the fleet's administrator may apply this part of a
    declaration.

    """

    caller_tokens: list[TokenHash] = Field(default_factory=list)
    operator_tokens: list[TokenHash] = Field(default_factory=list)
    services: list[Name] = Field(default_factory=list)
    share: int = Field(1, ge=1, le=1000)


class VersionSpec(StrictModel):
    """
    One version of an adapter (weights that extend a model).

    """

    name: Name
    version: Name


class DeploymentSpec(StrictModel):
    """
    The weights that all instances whose labels match the selector should serve.

    """

    model: Name
    version: Name
    adapters: list[VersionSpec] = Field(default_factory=list)
    selector: Selector = Field(min_length=1)


class Declaration(StrictModel):
    """
    The content of a declaration file. `organisation` owns the labels and deployments; labels
    and drains are given by instance.

    """

    organisation: Name | None = None
    organisations: dict[Name, OrganisationSpec] = Field(default_factory=dict)
    labels: dict[Name, dict[Name, LabelValue]] = Field(default_factory=dict)
    deployments: dict[Name, DeploymentSpec] = Field(default_factory=dict)
    drains: dict[Name, bool] = Field(default_factory=dict)
