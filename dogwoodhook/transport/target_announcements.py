"""Acts on what targets say of themselves in their answers."""

import random

from dogwoodhook.clock import Clock
from dogwoodhook.events import (
    TARGET_ANNOUNCEMENT_IGNORED,
    TARGET_LEAVING,
    TARGET_PAUSED,
    log,
)
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.target_announcements import (
    LeavingAnnouncement,
    PauseAnnouncement,
    TargetAnnouncement,
    UnreadableAnnouncement,
)
from dogwoodhook.state.target_availability import Available, describe, pause_for
from dogwoodhook.state.target_directory import TargetDirectory, TargetEntry
from dogwoodhook.transport.routed_request import RoutedRequest


class AnnouncementRecorder:
    """Records that targets leave or want a pause, and keeps requests from them."""

    def __init__(
        self,
        directory: TargetDirectory,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._rng = rng

    def obstacle(self, routed: RoutedRequest, target: TargetEntry) -> str | None:
        """Return why a request is not to be sent to a target now, if so."""
        match self._directory.availability(
            target, turn=routed.turn, now_s=self._clock.now_s()
        ):
            case Available():
                return None
            case obstacle:
                return describe(obstacle)

    def record(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        announcement: TargetAnnouncement,
    ) -> None:
        """Act on what a target said of itself in its answer to a request."""
        fields = {"request": routed.request_id, "target": target.name}
        match announcement:
            case LeavingAnnouncement():
                if self._directory.record_leaving(target):
                    self._metrics.record_target_announcement("leaving")
                    log(TARGET_LEAVING, **fields, incarnation=target.incarnation)
            case PauseAnnouncement(for_s):
                self._record_pause(routed, target, for_s)
            case UnreadableAnnouncement(header, value):
                self._metrics.record_target_announcement("unreadable")
                log(TARGET_ANNOUNCEMENT_IGNORED, **fields, header=header, value=value)

    def _record_pause(
        self, routed: RoutedRequest, target: TargetEntry, for_s: float
    ) -> None:
        now_s = self._clock.now_s()
        pause = pause_for(for_s, place=self._rng.random(), now_s=now_s)
        if not self._directory.record_pause(target, pause):
            return
        self._metrics.record_target_announcement("pause")
        log(
            TARGET_PAUSED,
            request=routed.request_id,
            target=target.name,
            value_s=for_s,
            until_ms=round((pause.until_s - now_s) * 1000),
        )
