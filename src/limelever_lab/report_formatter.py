"""behave's JSON report, with the message of every step that did not pass."""

from __future__ import annotations

from behave.formatter.json import JSONFormatter
from behave.model import Step


class ReportFormatter(JSONFormatter):  # type: ignore[misc]
    """Writes the messages of steps that ended in an error, which behave's own report lacks."""

    def result(self, step: Step) -> None:
        """Write the status of a step, and its message if it has one."""
        index = self._step_index
        super().result(step)
        if step.error_message:
            result = self.current_feature_element["steps"][index]["result"]
            result["error_message"] = step.error_message
