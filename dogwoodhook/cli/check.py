"""``check FILE...``: checks documents offline, each by itself and all together."""

from collections.abc import Sequence

from expression import Result

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.files import DocumentFile, read_files
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    FindingsReport,
    findings_result,
)
from dogwoodhook.cli.settings import OutputSettings
from dogwoodhook.findings import Finding
from dogwoodhook.state.checks import check_configuration
from dogwoodhook.state.model import (
    Change,
    Configuration,
    ServiceDefinition,
    apply_change,
)


async def check(
    settings: OutputSettings, arguments: Sequence[str], dependencies: Dependencies
) -> CommandResult:
    """Return all findings.

    A service whose template is not among the files is not a finding; it is noted in
    the text if there are no findings.
    """
    match read_files(arguments):
        case Result(tag="ok", ok=files):
            pass
        case Result(error=findings):
            return findings_result(findings)
    documents = tuple(file.document for file in files)
    change = Change(1, author="", changed_at_s=0.0, token="", documents=documents)
    configuration = apply_change(Configuration(), change)
    without_template = _without_template(files, configuration)
    skipped = {f"service.{service.name}.template" for service in without_template}
    found = [
        _with_source(finding, files)
        for finding in check_configuration(configuration)
        if finding.place not in skipped
    ]
    if found:
        return findings_result(found)
    lines = [f"{len(files)} documents, no findings"]
    lines += [
        f"note: service {service.name}: template {service.template} is not among the"
        " files, so floors are not checked"
        for service in without_template
    ]
    return CommandResult(ExitStatus.OK, "\n".join(lines), FindingsReport(()))


def _without_template(
    files: Sequence[DocumentFile], configuration: Configuration
) -> list[ServiceDefinition]:
    return [
        file.document
        for file in files
        if isinstance(file.document, ServiceDefinition)
        and configuration.template(file.document.template) is None
    ]


def _with_source(finding: Finding, files: Sequence[DocumentFile]) -> Finding:
    """Put the file's name before a key path such as ``service.payouts.routes``."""
    for file in files:
        prefix = f"{file.document.kind}.{file.document.name}."
        if finding.place.startswith(prefix):
            return Finding(f"{file.source} {finding.place}", finding.message)
    return finding
