"""The node that runs beside a target on the users' platform."""

from heatherspur.sidecar.app import SidecarApp

__all__ = ["SidecarApp"]
