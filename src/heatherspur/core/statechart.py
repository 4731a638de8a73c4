"""Loading of state charts from data files of a package.

A chart is a TOML file with the keys ``initial``, ``states`` and ``transitions``
(an array of tables with ``trigger``, ``source`` and ``dest``). The library
``transitions`` interprets the chart.
"""

import tomllib
from importlib.resources import files
from typing import Any

from transitions import Machine

__all__ = ["load_chart"]


def load_chart(package: str, name: str, model: Any) -> Machine:
    """Attach a state chart to a model.

    :param package: Package that contains the file.
    :param name: File name.
    :param model: Object to which the attribute ``state`` and one method per trigger
        are added.
    :returns: The state machine that drives the model.
    :raises OSError: If the file can't be read.
    """
    chart = tomllib.loads(files(package).joinpath(name).read_text("utf-8"))
    return Machine(
        model=model,
        states=chart["states"],
        initial=chart["initial"],
        transitions=chart["transitions"],
        auto_transitions=False,
        ignore_invalid_triggers=True,
    )
