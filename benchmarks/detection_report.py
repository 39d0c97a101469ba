"""Prints the detection benchmark's tables."""

from collections.abc import Callable, Sequence

from benchmarks.detection_results import (
    DAY_S,
    DETECTION_LIMIT_S,
    Detection,
    Report,
)


def format_interval(interval_s: float) -> str:
    """Format an interval in days or minutes."""
    if interval_s >= DAY_S:
        return f"{interval_s / DAY_S:.0f} d"
    return f"{interval_s / 60:.0f} min"


def print_report(report: Report) -> None:
    """Print the tables."""
    print(f"seed {report.seed}; times in s: median / largest of the runs;")
    print(f"'-' where a run detected nothing within {DETECTION_LIMIT_S:.0f} s\n")
    print("Detection time against the accepted interval, 30% failing, 6 targets")
    _print_detections(report.curve, lambda each: format_interval(each.interval_s))
    print("\nDetection time by fault, at the recommended interval")
    _print_detections(report.faults, lambda each: f"{each.targets:2} {each.fault}")
    print(
        f"\nWork to a bad target while it is bad, in {report.bad_work_s / 60:.0f} min"
    )
    for work in report.bad_work:
        print(
            f"  {work.deployment:15} {work.fault:20} {work.detector:15}"
            f" {work.received:6} of {work.received_without_avoidance:.0f}"
        )
    print("\nFalse suspicions: count (with two reporters), targets, simulated time")
    for each in report.false_suspicions:
        print(
            f"  {each.deployment:15} {format_interval(each.interval_s):>7}"
            f" {each.fault:30} {each.detector:14} {each.suspicions:4}"
            f" ({each.ejectable}) {each.targets_suspected:2} of {each.targets}"
            f" {each.simulated_s / 60:5.0f} min {each.per_day:8.1f} a day"
        )
    print("\nBounds")
    for bound in report.bounds:
        result = "met" if bound.is_met else "MISSED"
        print(f"  {result:6} {bound.ratio:6.2f} <= {bound.bound:.2f}  {bound.name}")


def _print_detections(
    detections: Sequence[Detection], label: Callable[[Detection], str]
) -> None:
    for deployment in dict.fromkeys(each.deployment for each in detections):
        deployment_detections = [
            each for each in detections if each.deployment == deployment
        ]
        detectors = list(dict.fromkeys(each.detector for each in deployment_detections))
        header = "".join(f"{each:>20}" for each in detectors)
        print(f"  {deployment:32}{header}")
        for row in dict.fromkeys(label(each) for each in deployment_detections):
            cells = (
                _format_times(each)
                for detector in detectors
                for each in deployment_detections
                if (label(each), each.detector) == (row, detector)
            )
            print(f"  {row:32}" + "".join(f"{each:>20}" for each in cells))


def _format_times(detection: Detection) -> str:
    median_s, largest_s = detection.median_s, detection.largest_s
    median = "-" if median_s >= DETECTION_LIMIT_S else f"{median_s:.1f}"
    largest = "-" if largest_s >= DETECTION_LIMIT_S else f"{largest_s:.1f}"
    return f"{median} / {largest}"
