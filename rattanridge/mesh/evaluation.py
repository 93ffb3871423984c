"""What the coordinator of one rollout knows: reports of exits, and their sums."""

from rattanridge.mesh import monitoring, trial as trials, versions as versioning
from rattanridge.platform import orders
from rattanridge.policies import (
    evidence,
    evidence_history,
    exposure as exposures,
    placement,
    proof,
    ramp as ramps,
)

MIN_HEARD_SHARE = 0.5  # of each version's exits that must report


class Evaluation:
    """The coordinator's evidence on one rollout, and its progress."""

    def __init__(self, rollout: versioning.Rollout):
        self.order = rollout.order
        status = rollout.current_status()
        # Whether another coordinator has given the new version requests before.
        self.took_over = status is not None and status.began >= 0
        self.ramp = ramps.Ramp(rollout.order.duration)
        self.began_at = rollout.began_at
        self.exposure = exposures.Exposure()
        self.bad_answers = proof.BadAnswers()
        if status is not None:
            self.ramp.step = min(status.step, ramps.LAST_STEP)
            self.ramp.began = status.began
            self.ramp.step_at = status.elapsed
            self.exposure = exposures.Exposure(status.new_requests, status.old_requests)
            self.bad_answers = proof.BadAnswers(status.excused_answers)
        self.history = evidence_history.History()
        self.reports: dict[str, monitoring.Report] = {}
        # Counts of the processes that an exit had before, by endpoint.
        self.ended: dict[str, evidence.CountsByRoute] = {}
        self.baselines: dict[str, evidence.CountsByRoute] = {}
        self.old: evidence.CountsByRoute = {}
        self.new: evidence.CountsByRoute = {}
        # Endpoints whose exits have answered the last request for reports.
        self.heard: set[str] = set()
        # Ready endpoints of the new version, at the last check.
        self.endpoints = 0
        # Whether this process has written the status.
        self.written = False
        # Why the new version is bad; empty as long as nothing is found.
        self.fault = ""

    def is_new(self, version: str) -> bool:
        """Return whether a version is the one on trial."""
        return version == self.order.version

    def record_reports(
        self, reports: list[monitoring.Report | None], now: float
    ) -> None:
        """Record the answers to one request for reports, and sum all evidence.

        :param reports: None for each exit that did not answer.
        :param now: monotonic seconds.
        """
        self.heard = set()
        for report in reports:
            if report is not None and report.service == self.order.service:
                self.record_report(report)
                self.record_order(report.order, now)
        self.sum_reports()
        self.history.record(now, self.old, self.new)
        self.fault = self.fault or self.history.find_fault()
        self.fault = self.fault or self.bad_answers.find_fault(self.history)

    def record_report(self, report: monitoring.Report) -> None:
        """Record the report of one exit.

        An endpoint of the old version is counted from its first report on. So is one of
        the new version if this coordinator took over: what the old one had at the same
        times is not known.
        """
        endpoint = report.endpoint
        self.heard.add(endpoint)
        known = self.reports.get(endpoint)
        if known is not None and known.process != report.process:
            ended = evidence.without_running(known.routes)
            evidence.merge(self.ended.setdefault(endpoint, {}), ended)
        self.reports[endpoint] = report
        is_new = self.is_new(report.version)
        if is_new:
            self.exposure.record_new(endpoint, report.process, report.sent)
            if report.braked:
                self.fault = self.fault or "braked by another coordinator"
        else:
            self.exposure.record_old(endpoint, report.process, report.sent)
        if (self.took_over or not is_new) and known is None:
            self.baselines[endpoint] = evidence.copy(report.routes)
            if is_new:
                self.bad_answers.record_earlier(report.routes)

    def record_order(self, order: versioning.RunningOrder | None, now: float) -> None:
        """Count the time of the rollout from when the first of the exits saw the order.

        This coordinator may have started later, and does not know how old the status
        is that it has read.

        :param now: monotonic seconds.
        """
        if order is not None and order.version == self.order.version:
            self.began_at = min(self.began_at, now - order.age)

    def sum_reports(self) -> None:
        """Sum the evidence on the old and on the new version."""
        self.old = {}
        self.new = {}
        for endpoint, report in self.reports.items():
            total = evidence.copy(report.routes)
            evidence.merge(total, self.ended.get(endpoint, {}))
            counted = evidence.since(total, self.baselines.get(endpoint, {}))
            summed = self.new if self.is_new(report.version) else self.old
            evidence.merge(summed, counted)

    def measure(self, now: float) -> None:
        """Update the ramp by the time and by the evidence.

        :param now: monotonic seconds.
        """
        self.ramp.elapsed = now - self.began_at
        self.ramp.measure(self.old, self.exposure.served())

    def usable_slots(self, candidate: placement.Candidate) -> float:
        """Return the slots of an endpoint that may be used, by its last report."""
        report = self.reports.get(candidate.endpoint)
        if report is None or report.usable_slots is None:
            return candidate.slots
        return min(report.usable_slots, candidate.slots)

    def capacity_ratio(self, candidates: list[placement.Candidate]) -> float:
        """Return the slots of the new version divided by those of the old one.

        Of an endpoint that limits the rate of its requests, the slots count that this
        allows to use. Endpoints that cannot be reached are left out. Infinite without
        old endpoints.
        """
        slots = {True: 0.0, False: 0.0}
        for item in candidates:
            if not item.lost:
                slots[self.is_new(item.version)] += self.usable_slots(item)
        return slots[True] / slots[False] if slots[False] else float("inf")

    def candidates_on_trial(
        self, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Return the endpoints of the new version."""
        return [item for item in candidates if self.is_new(item.version)]

    def advance(self, candidates: list[placement.Candidate]) -> None:
        """Move the ramp on to the next step if it is time for it.

        The old version gets nothing in the last step, and need not report in it.
        """
        new = self.candidates_on_trial(candidates)
        self.endpoints = len(new)
        self.ramp.capacity_ratio = self.capacity_ratio(candidates)
        heard = self.is_heard(new if self.ramp.is_last() else candidates)
        doubt = proof.find_doubt(self.history)
        self.ramp.advance(self.endpoints, self.old, self.new, heard, doubt)

    def share(self, state: str) -> float:
        """Return the share of the requests that the new version gets in a state."""
        if state != orders.RUNNING:
            return float(state == orders.COMPLETED)
        return self.ramp.share(self.endpoints)

    def is_heard(self, candidates: list[placement.Candidate]) -> bool:
        """Return whether enough exits of each version have reported lately."""
        for new in (True, False):
            exits = [item for item in candidates if self.is_new(item.version) is new]
            heard = [item for item in exits if item.endpoint in self.heard]
            if len(heard) < MIN_HEARD_SHARE * len(exits):
                return False
        return True

    def permits(
        self, candidates: list[placement.Candidate]
    ) -> dict[str, trials.Permit]:
        """Return the next permits of the new version's exits, by endpoint."""
        new = self.candidates_on_trial(candidates)
        if self.ramp.is_last():
            permit = trials.Permit(self.order.version, trials.UNLIMITED)
            return {item.endpoint: permit for item in new}
        remaining = self.exposure.remaining()
        weights = self.weights(new)
        return {
            endpoint: trials.Permit(
                self.order.version,
                self.exposure.permit(endpoint, weight, remaining),
            )
            for endpoint, weight in weights.items()
        }

    def weights(self, new: list[placement.Candidate]) -> dict[str, float]:
        """Return each endpoint's part of what the new version may get."""
        if not self.ramp.one_endpoint():
            return {item.endpoint: 1.0 / len(new) for item in new}
        chosen = min(new, key=lambda item: (item.lost, item.endpoint), default=None)
        return {item.endpoint: float(item is chosen) for item in new}
