"""Node that runs beside each target on the users' platform."""

from heatherspur.sidecar.app import SidecarApp

__all__ = ["SidecarApp"]
