"""A model of a rollout: the real evaluation, with simulated exits and requests."""

import random

from rattanridge.mesh import evaluation as evaluations, monitoring, versions
from rattanridge.platform import orders, store_objects
from rattanridge.policies import evidence, placement, ramp as ramps

SERVICE = "registry"
ROUTE = "lookup"
DURATION = 16.0  # seconds
RATE = 360.0  # requests per second
WORK = 0.09  # seconds, the median time of a request
TIME_LIMIT = 1.0  # seconds, of each request
TARGET_LATENCY = 0.3  # seconds, within which an answer is timely
STEP = 0.35  # seconds between two checks
LOADED_STEP = 0.15  # the same from the step on that loads one endpoint
ENDPOINTS_READY_AT = 1.4  # seconds after the order
ENDPOINTS = 4
SHARE = 0.1  # of the service's requests, the most that a bad version may get
SLACK = 50  # requests that it may get on top
ROLLBACK_TIME = 5.0  # seconds from the 50th bad answer to the last request
BAD_ANSWERS = 50


class Trouble:
    """What callers meet at one version at one time.

    :param failing: share of the requests that fail.
    :param factor: on the times of all requests.
    :param slow: share of the requests that take 8 times as long.
    """

    def __init__(self, failing=0.0, factor=1.0, slow=0.0):
        self.failing = failing
        self.factor = factor
        self.slow = slow


CALM = Trouble()


class Exit:
    """The exit of one endpoint with what it counts."""

    def __init__(self, version, number):
        self.version = version
        self.endpoint = f"{version}-{number}"
        self.counts = evidence.Counts()
        self.sent = 0
        self.permitted = 0

    def candidate(self):
        return placement.Candidate(
            self.endpoint, self.endpoint, "a", SERVICE, self.endpoint, self.version, 12
        )

    def report(self):
        return monitoring.Report(
            self.endpoint,
            SERVICE,
            self.version,
            {ROUTE: self.counts.copy()},
            process=self.endpoint,
            sent=self.sent,
        )


class Model:
    """One rollout in virtual time.

    :param old: returns the trouble of the old version by the seconds since the order.
    :param new: the same of the new version; its own fault is in it.
    """

    def __init__(self, seed, old, new, rate=RATE):
        self.random = random.Random(seed)
        self.trouble = {"v1": old, "v2": new}
        self.rate = rate
        self.old_exits = [Exit("v1", number) for number in range(ENDPOINTS)]
        self.new_exits = [Exit("v2", number) for number in range(ENDPOINTS)]
        order = orders.Order(SERVICE, "v2", DURATION)
        item = store_objects.StoredObject(SERVICE, 1, orders.encode_order(order), b"")
        self.rollout = versions.Rollout(order, None, item, 0.0, 0.0)
        self.evaluation = evaluations.Evaluation(self.rollout)
        self.now = 0.0
        self.bad_answers = 0
        self.bad_limit_at = None
        self.silent_until = 0.0
        self.state = orders.RUNNING

    def run(self):
        """Play until the rollout ends; return its state."""
        while self.state == orders.RUNNING:
            self.play_step()
        return self.state

    def play_step(self):
        """Play the requests up to the next check, and the check."""
        loaded = self.evaluation.ramp.step >= ramps.LOAD_STEP
        step = LOADED_STEP if loaded else STEP
        self.now += step
        share = self.evaluation.share(orders.RUNNING)
        for _ in range(round(self.rate * step)):
            self.send(self.random.random() < share)
        self.check()

    def exits(self):
        ready = self.now >= ENDPOINTS_READY_AT
        return self.old_exits + (self.new_exits if ready else [])

    def send(self, to_new):
        """Send one request; the old version gets what the new one may not get."""
        if to_new:
            open_exits = [x for x in self.new_exits if x.sent < x.permitted]
            if open_exits:
                self.record(self.random.choice(open_exits))
                return
        self.record(self.random.choice(self.old_exits))

    def record(self, item):
        """Record one request at an exit, as its version serves it now."""
        trouble = self.trouble[item.version](self.now)
        failed = self.random.random() < trouble.failing
        seconds = WORK * trouble.factor * self.random.lognormvariate(0.0, 0.5)
        is_slow = self.random.random() < trouble.slow
        if is_slow:
            seconds *= 8.0
        item.sent += 1
        self.record_answer(item.counts, failed, seconds)
        if item.version == "v2" and (failed or is_slow):
            self.bad_answers += 1
            if self.bad_answers == BAD_ANSWERS:
                self.bad_limit_at = self.now

    def record_answer(self, counts, failed, seconds):
        if seconds >= TIME_LIMIT:
            counts.record_timeout(TIME_LIMIT)
        else:
            counts.record_call(failed, seconds, seconds > TARGET_LATENCY)

    def check(self):
        """Do what a coordinator does at each check."""
        evaluation = self.evaluation
        candidates = [item.candidate() for item in self.exits()]
        permits = evaluation.permits(candidates)
        reports = []
        for item in self.exits():
            if item.endpoint in permits:
                item.permitted = permits[item.endpoint].requests
            is_silent = self.now < self.silent_until
            reports.append(None if is_silent else item.report())
        evaluation.record_reports(reports, self.now)
        evaluation.measure(self.now)
        if evaluation.fault:
            self.state = orders.ROLLED_BACK
            return
        evaluation.advance(candidates)
        if evaluation.ramp.done():
            self.state = orders.COMPLETED
        elif evaluation.ramp.failed():
            self.state = orders.ROLLED_BACK

    def replace_coordinator(self):
        """Let another coordinator go on from what the last one has written."""
        last = self.evaluation
        ramp = last.ramp
        self.rollout.status = orders.Status(
            orders.RUNNING,
            "v2",
            share=last.share(orders.RUNNING),
            step=ramp.step,
            elapsed=ramp.elapsed,
            began=ramp.began,
            new_requests=last.exposure.new,
            old_requests=last.exposure.old,
            excused_answers=last.bad_answers.excused,
        )
        self.evaluation = evaluations.Evaluation(self.rollout)
        self.evaluation.endpoints = last.endpoints

    def new_requests(self):
        return sum(item.sent for item in self.new_exits)

    def allowed_requests(self):
        return SHARE * self.rate * DURATION + SLACK

    def bounds_hold(self):
        """Return whether a bad version got no more than it may get."""
        if self.new_requests() > self.allowed_requests():
            return False
        if self.bad_limit_at is None:
            return True
        return self.now - self.bad_limit_at <= ROLLBACK_TIME
