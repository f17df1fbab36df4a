"""Membership, dissemination and configuration between daemons."""

from verbenamill_mesh.configuration import Configuration, ConfigurationHead
from verbenamill_mesh.mesh import Mesh
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.transport import Link, PynngTransport, Transport

__all__ = (
    'Configuration',
    'ConfigurationHead',
    'Link',
    'Mesh',
    'MeshSettings',
    'MeshStats',
    'PynngTransport',
    'Transport',
)
