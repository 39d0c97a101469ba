"""Takes tokens of workspaces' quotas from their coordinators, and is one itself.

A request of a workspace with a quota costs two datagrams, however many daemons there
are. Nothing is sent for other requests.
"""

import asyncio
import math
import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
    QuotaReport,
)
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.state.workspace_quota import (
    BucketState,
    FleetQuota,
    Granted,
    OverQuota,
    QuotaCoordinator,
    QuotaTaken,
    coordinators_of,
)

ANSWER_TIMEOUTS_S = (0.1, 0.2)
"""Times to wait for a coordinator's answer to the first and to the second copy of an
ask: two batches of datagrams and a few times the round trip between data centres, and
a delay of the coordinator's event loop."""

AVOID_S = 1.0
"""Time for which a coordinator that did not answer is not asked first."""

REPORT_INTERVAL_S = 0.25
"""Time within which coordinators tell each other what they have granted."""

SHARED_REPORT_INTERVAL_S = 0.05
"""The same while others grant tokens too. Until a report arrives, each grants the whole
rate: three of them stay within half of the overshoot if one report in three is lost."""

SHARED_S = 1.0
"""Time after another coordinator's report during which it counts as granting."""

TOUCH_TIMEOUT_S = 0.5
"""Time after which a daemon that gets no answer to any ask or report grants nothing to
itself: the fleet may have another coordinator that it does not hear of."""

REPORTER_RETENTION_S = 5.0
"""Time for which a daemon that reported a workspace's bucket is sent reports of it,
although it does not rank among the coordinators known here."""

NUMBER_BITS = 62
"""Size of the random number that a daemon's first ask gets."""

MAX_ASKED = 4096
"""Asks remembered for answers that come late."""

MAX_ANSWERS = 4096
"""Answers remembered for copies of asks, which arrive within a second."""


@dataclass(slots=True)
class _Asked:
    """An ask for a token, and the coordinators whose answers have been used.

    ``answered`` is cancelled when nobody waits for the answer any more.
    """

    policy: WorkspacePolicy
    answered: asyncio.Future[QuotaAnswer]
    gives_back: bool
    settled: set[str] = field(default_factory=set)


class QuotaSharing:
    """Asks coordinators for tokens, and answers other daemons' asks.

    ``policies`` returns the workspaces of the configuration in force by name.
    """

    def __init__(
        self,
        quota: FleetQuota,
        coordinator: QuotaCoordinator,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        rng: random.Random,
        policies: Callable[[], Mapping[str, WorkspacePolicy]],
    ) -> None:
        self._quota = quota
        self._coordinator = coordinator
        self._links = links
        self._clock = clock
        self._daemon = daemon
        self._policies = policies
        self._unanswered_since_s = math.inf
        self._report_heard_s = -math.inf
        # Random, so that a daemon's numbers after a restart differ from those before.
        self._run = self._number = rng.getrandbits(NUMBER_BITS)
        self._asked: OrderedDict[int, _Asked] = OrderedDict()
        self._answers: OrderedDict[tuple[str, int], QuotaAnswer] = OrderedDict()
        self._avoided_until_s: dict[str, float] = {}
        self._reporters_s: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._daemons: Mapping[str, list[str]] | None = None
        self._names: frozenset[str] = frozenset()
        self._rankings: dict[str, tuple[str, ...]] = {}
        self._known_policies: Mapping[str, WorkspacePolicy] | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[QuotaAnswer | None]] = set()

    async def take(
        self, policy: WorkspacePolicy, *, priority: int
    ) -> QuotaTaken | OverQuota:
        """Count a request that is about to be sent, or refuse it."""
        answer = await self._ask(
            policy, self._reachable(policy.name), priority=priority
        )
        now_s = self._clock.now_s()
        if answer is None:
            daemons = self._links.count_known_daemons()
            return self._quota.try_take(policy, daemons=daemons, now_s=now_s)
        if answer.retry_after_s is not None:
            return OverQuota(answer.retry_after_s, answer.daemon)
        return QuotaTaken(policy.name, now_s, answer.daemon)

    def give_back(self, policy: WorkspacePolicy, taken: QuotaTaken) -> None:
        """Return a request that no target ran."""
        if taken.granted_by is None:
            self._quota.give_back(taken)
        else:
            self._spawn_give_back(policy, taken.granted_by)

    def close(self) -> None:
        """Stop counting and reporting."""
        if self._report_timer is not None:
            self._report_timer.cancel()
        for task in self._tasks:
            task.cancel()

    def receive(self, message: QuotaMessage) -> None:
        """Process a message of another daemon."""
        self._unanswered_since_s = math.inf
        match message:
            case QuotaAsk():
                self._receive_ask(message)
            case QuotaAnswer():
                self._receive_answer(message)
            case QuotaReport():
                self._receive_report(message)

    def _reachable(self, workspace: str) -> tuple[str, ...]:
        """Return the coordinators to ask, without those that did not answer lately.

        If none of them did, it is the one whose silence is longest ago.
        """
        coordinators = self._coordinators(workspace)
        now_s = self._clock.now_s()
        avoided_until_s = self._avoided_until_s
        reachable = tuple(
            each for each in coordinators if avoided_until_s.get(each, 0.0) <= now_s
        )
        return reachable or (min(coordinators, key=avoided_until_s.__getitem__),)

    def _coordinators(self, workspace: str) -> tuple[str, ...]:
        daemons = self._links.live_daemons()
        if daemons is not self._daemons:
            self._daemons = daemons
            self._update_rankings(
                frozenset(name for names in daemons.values() for name in names)
            )
        ranking = self._rankings.get(workspace)
        if ranking is None:
            ranking = coordinators_of(workspace, self._names | {self._daemon})
            self._rankings[workspace] = ranking
        return ranking

    def _update_rankings(self, names: frozenset[str]) -> None:
        """Rank only what has changed: a ranking of all costs a hash for each daemon."""
        added, removed = names - self._names, self._names - names
        self._names = names
        if added or removed:
            self._rankings = {
                workspace: coordinators_of(workspace, {*ranking, *added})
                for workspace, ranking in self._rankings.items()
                if removed.isdisjoint(ranking)
            }

    async def _ask(
        self,
        policy: WorkspacePolicy,
        coordinators: Iterable[str],
        *,
        priority: int = 0,
        gives_back: bool = False,
    ) -> QuotaAnswer | None:
        """Ask one coordinator after the other, until one answers.

        Return the first answer, ``None`` if there is none in time.
        """
        self._number += 1
        ask = QuotaAsk(
            daemon=self._daemon,
            number=self._number,
            workspace=policy.name,
            rate_per_s=policy.rate_per_s,
            burst=policy.burst,
            priority=priority,
            gives_back=gives_back,
        )
        answered = asyncio.get_running_loop().create_future()
        asked = _Asked(policy, answered, gives_back)
        self._asked[ask.number] = asked
        if len(self._asked) > MAX_ASKED:
            self._asked.popitem(last=False)
        try:
            return await self._first_answer(ask, asked, coordinators)
        finally:
            answered.cancel()

    async def _first_answer(
        self, ask: QuotaAsk, asked: _Asked, coordinators: Iterable[str]
    ) -> QuotaAnswer | None:
        for coordinator in coordinators:
            if coordinator == self._daemon:
                if not self._is_in_touch():
                    continue
                self._receive_answer(self._answer(ask))
            else:
                await self._send_until_answered(ask, asked, coordinator)
            if asked.answered.done():
                return asked.answered.result()
            self._avoided_until_s[coordinator] = self._clock.now_s() + AVOID_S
        return None

    async def _send_until_answered(
        self, ask: QuotaAsk, asked: _Asked, coordinator: str
    ) -> None:
        for timeout_s in ANSWER_TIMEOUTS_S:
            self._notify_and_expect_answer(ask, coordinator)
            await asyncio.wait([asked.answered], timeout=timeout_s)
            # This daemon may have been late itself.
            self._links.receive_pending()
            if asked.answered.done():
                return

    def _notify_and_expect_answer(
        self, message: QuotaAsk | QuotaReport, daemon: str
    ) -> None:
        now_s = self._clock.now_s()
        self._unanswered_since_s = min(self._unanswered_since_s, now_s)
        self._links.notify(message, [daemon])

    def _is_in_touch(self) -> bool:
        """Return whether other daemons answer, or there are none."""
        silence_s = self._clock.now_s() - self._unanswered_since_s
        return silence_s < TOUCH_TIMEOUT_S or not self._links.live_daemons()

    def _spawn_give_back(self, policy: WorkspacePolicy, coordinator: str) -> None:
        """Return a token to its coordinator, without waiting for the answer."""
        task = asyncio.ensure_future(self._ask(policy, [coordinator], gives_back=True))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _receive_ask(self, ask: QuotaAsk) -> None:
        key = ask.daemon, ask.number
        answer = self._answers.get(key)
        if answer is None:
            answer = self._answers[key] = self._answer(ask)
            if len(self._answers) > MAX_ANSWERS:
                self._answers.popitem(last=False)
        self._links.notify(answer, [ask.daemon])

    def _receive_report(self, report: QuotaReport) -> None:
        now_s = self._clock.now_s()
        policies = self._policies()
        for bucket in report.buckets:
            policy = policies.get(bucket.workspace)
            if policy is None or not policy.has_quota:
                continue
            self._coordinator.record_report(
                policy, report.daemon, report.run, bucket, now_s=now_s
            )
            self._reporters_s[bucket.workspace][report.daemon] = now_s
        if not report.is_answer:
            self._report_heard_s = now_s
            answer = QuotaReport(self._daemon, self._run, is_answer=True)
            self._links.notify(answer, [report.daemon])

    def _answer(self, ask: QuotaAsk) -> QuotaAnswer:
        policy = self._policies().get(ask.workspace)
        if policy is None or not policy.has_quota:
            policy = WorkspacePolicy(
                ask.workspace, frozenset(), ask.rate_per_s, ask.burst
            )
        match self._grant(policy, ask.priority, gives_back=ask.gives_back):
            case Granted():
                return QuotaAnswer(self._daemon, ask.number)
            case OverQuota(retry_after_s):
                return QuotaAnswer(self._daemon, ask.number, retry_after_s)

    def _receive_answer(self, answer: QuotaAnswer) -> None:
        self._avoided_until_s.pop(answer.daemon, None)
        asked = self._asked.get(answer.number)
        if asked is None or answer.daemon in asked.settled:
            return
        asked.settled.add(answer.daemon)
        if not asked.answered.done():
            asked.answered.set_result(answer)
        elif answer.retry_after_s is None and not asked.gives_back:
            # Another coordinator granted a token before, or it comes too late.
            self._spawn_give_back(asked.policy, answer.daemon)

    def _grant(
        self, policy: WorkspacePolicy, priority: int, *, gives_back: bool
    ) -> Granted | OverQuota:
        self._forget_removed()
        now_s = self._clock.now_s()
        live = 1 + sum(map(len, self._links.live_daemons().values()))
        share = self._coordinator.tolerance.reached_share(
            live=live, known=self._links.count_known_daemons()
        )
        if self._report_timer is None:
            is_shared = now_s - self._report_heard_s < SHARED_S
            self._report_timer = asyncio.get_running_loop().call_later(
                SHARED_REPORT_INTERVAL_S if is_shared else REPORT_INTERVAL_S,
                self._send_reports,
            )
        if gives_back:
            self._coordinator.give_back(policy, share=share, now_s=now_s)
            return Granted()
        return self._coordinator.grant(
            policy, priority=priority, share=share, now_s=now_s
        )

    def _forget_removed(self) -> None:
        """Forget the workspaces that a new configuration no longer names."""
        policies = self._policies()
        if policies is self._known_policies:
            return
        now_s = self._clock.now_s()
        self._coordinator.retain(policies.keys(), now_s=now_s)
        self._quota.retain(policies.keys(), now_s=now_s)
        for name in self._reporters_s.keys() - policies.keys():
            del self._reporters_s[name]
        self._rankings.clear()
        self._known_policies = policies

    def _send_reports(self) -> None:
        """Tell the other coordinators what was granted since the last report."""
        self._report_timer = None
        oldest_s = self._clock.now_s() - REPORTER_RETENTION_S
        buckets_of: defaultdict[str, list[BucketState]] = defaultdict(list)
        for bucket in self._coordinator.unreported():
            reporters_s = self._reporters_s[bucket.workspace]
            others = {
                *self._coordinators(bucket.workspace),
                *(name for name, at_s in reporters_s.items() if at_s > oldest_s),
            }
            for other in sorted(others - {self._daemon}):
                buckets_of[other].append(bucket)
        for other, buckets in buckets_of.items():
            report = QuotaReport(self._daemon, self._run, tuple(buckets))
            self._notify_and_expect_answer(report, other)
