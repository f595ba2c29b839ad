"""Hedging policy: when a call without an answer is sent again in parallel.

Calls to the store are answered within milliseconds, but some answers are lost. A
second send after a high quantile of the response times completes such a call long
before its timeout. Time is passed in.
"""

from collections import deque

MIN_DELAY_S = 0.03  # below it, a hedge would mostly race a garbage collection
# A later hedge would hardly precede the repetition after the timeout of 1 s.
MAX_DELAY_S = 0.5
UNKNOWN_DELAY_S = 0.1  # while there are too few answers for a quantile
MIN_ANSWERS = 8  # fewest answers from which a quantile is taken
WINDOW_ANSWERS = 64  # four slow answers of them raise the delay
WINDOW_S = 10.0  # older answers say nothing about the store's present speed
QUANTILE = 0.95
QUANTILE_FACTOR = 2.0  # distance from answers that are merely slow
RESERVE = 16.0  # hedges that can accumulate, and so all that a silent store gets
EARNED_PER_ANSWER = 0.01  # on a calm store hedges add at most 1 % of the calls
# With a share of 0.4 of the sends lost, each answered call needs 0.67 hedges.
EARNED_DURING_LOSS = 1.0
# Share of calls without an answer to the first send above which answers count as
# lost. Lower shares are also reached now and then if 3 of 100 answers are slow.
LOSS_SHARE = 0.15
LOSS_WEIGHT = 1 / 32  # weight of the latest call in this share
RATE_LIMIT_PAUSE_S = 1.0  # no hedge for this long after the store limited the rate
RATE_WINDOW_S = 1.0  # the hedges within this time keep to the rate


class HedgePolicy:
    """Decides about the hedges of one kind of call of one instance.

    Hedges are limited three times: by the delay, by a budget that answered calls
    earn, and by this instance's share of a rate. While hedges complete many of the
    calls, answers are being lost, and each answered call earns a whole hedge.

    Args:
        rate_per_s: Hedges that all instances together may send in a second; 0 for
            none.

    Attributes:
        budget: Hedges that may be sent now.
        loss_share: Recent share of the calls whose first send had no answer in time.
    """

    def __init__(self, rate_per_s: float):
        self.rate_per_s = rate_per_s
        self.budget = RESERVE
        self.loss_share = 0.0
        self.answers: deque[tuple[float, float]] = deque(maxlen=WINDOW_ANSWERS)
        self.sent_s: deque[float] = deque()
        self.paused_until_s = float("-inf")

    def delay_s(self, now_s: float) -> float | None:
        """Return after which time a call is hedged, seconds; None if it is not."""
        if not self.rate_per_s or now_s < self.paused_until_s:
            return None
        while self.answers and now_s - self.answers[0][0] > WINDOW_S:
            self.answers.popleft()
        if len(self.answers) < MIN_ANSWERS:
            return UNKNOWN_DELAY_S
        times = sorted(took_s for _at_s, took_s in self.answers)
        delay_s = QUANTILE_FACTOR * times[int(QUANTILE * (len(times) - 1))]
        return max(MIN_DELAY_S, delay_s) if delay_s <= MAX_DELAY_S else None

    def take(self, share: float, now_s: float) -> bool:
        """Take one hedge from the budget; return False if none may be sent.

        Args:
            share: This instance's share of the rate, 0 to 1.
            now_s: Monotonic seconds.
        """
        rate_per_s = self.rate_per_s * share
        if self.budget < 1.0 or now_s < self.paused_until_s:
            return False
        while self.sent_s and now_s - self.sent_s[0] >= RATE_WINDOW_S:
            self.sent_s.popleft()
        # Shares of less than one hedge are none: all instances may hedge at once.
        if len(self.sent_s) + 1 > rate_per_s * RATE_WINDOW_S:
            return False
        self.sent_s.append(now_s)
        self.budget -= 1.0
        return True

    def note_answer(self, took_s: float, by_hedge: bool, now_s: float) -> None:
        """Record that a call was answered.

        Args:
            took_s: Response time of the send that was answered, seconds.
            by_hedge: True if it was a hedge, so that an earlier send had no answer.
            now_s: Monotonic seconds.
        """
        self.answers.append((now_s, took_s))
        self._note_loss(by_hedge)
        lossy = self.loss_share >= LOSS_SHARE
        earned = EARNED_DURING_LOSS if lossy else EARNED_PER_ANSWER
        self.budget = min(RESERVE, self.budget + earned)

    def note_unanswered(self) -> None:
        """Record that no send of a call was answered.

        An outage uses up the budget, and without a hedge no other evidence of lost
        answers remains.
        """
        self._note_loss(True)

    def _note_loss(self, lost: bool) -> None:
        self.loss_share += LOSS_WEIGHT * (lost - self.loss_share)

    def note_rate_limit(self, now_s: float) -> None:
        """Record that the store refused a call to limit the rate."""
        self.paused_until_s = now_s + RATE_LIMIT_PAUSE_S
