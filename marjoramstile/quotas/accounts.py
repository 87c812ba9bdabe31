"""The owner's account of a workspace: what all daemons have used of its quota.

Pure; ``now`` is the time of the event loop in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass

from marjoramstile.quotas.messages import Sender, SpenderState
from marjoramstile.quotas.windows import EPSILON, Allowance, SpendWindow

# Time for which a daemon may spend what it holds, from its request on.
LEASE_S = 1.0
# Time after which the owner takes unreported units for spent: the lease, and what
# datagrams and busy event loops take.
LEASE_LAPSE_S = 1.5
# Time without a message after which a daemon that has spent units lately counts as
# silent; it reports each second.
SILENT_S = 2.5
# Part of the margin that daemons may hold.
HELD_PART = 0.5
# Part of the margin that counts as used when an account is taken over from an owner
# that told nothing, and the time until what was used before is forgotten: by then the
# daemons that ask most have told what they have spent.
TAKEN_OVER_PART = 0.5
HANDOVER_S = 0.25
# Time for which an owner is a new one.
NEW_S = 2.0
# Time without acting as the owner after which another daemon may have been it.
INTERRUPTED_S = 2.5


@dataclass
class Holder:
    """What an owner knows of a daemon: its state in its last message, and grants since.

    ``spent`` and ``recent`` include granted units that are not reported yet. ``former``
    is the incarnation before, whose late messages are ignored.
    """

    incarnation: str
    spent: float
    former: str = ""
    number: int = -1
    held: float = 0.0
    lapses_at: float = 0.0
    recent: float = 0.0
    heard_at: float = 0.0


def silence_s(window_s: float) -> float:
    """Return the time after which a daemon without messages counts as silent."""
    return min(SILENT_S, 0.5 * window_s)


def alone_part(silent_s: float, window_s: float) -> float:
    """Return the part of a daemon's recent units that it may have spent again.

    It begins when the owner holds that back, goes on at the pace it had, and ends a
    window after the last contact.
    """
    return max(0.0, min(silent_s, window_s) - silence_s(window_s)) / window_s


def silent_part(silent_s: float, window_s: float) -> float:
    """Return the part of it that may have been spent within the present window."""
    left = max(0.0, 2.0 - silent_s / window_s)
    return min(alone_part(silent_s, window_s), left)


@dataclass(frozen=True)
class Grant:
    """Units granted for requests and ahead; ``wait_s`` until one more fits."""

    granted: float
    ahead: float
    wait_s: float


class QuotaAccount:
    """Usage of a workspace in the window, units held by daemons included.

    An account that was taken over at ``owned_since`` counts as used before what the
    former owner has told, or else the whole allowance, and forgets it evenly over a
    window.
    """

    def __init__(self, window_s: float, owned_since: float | None):
        self._window_s = window_s
        self.owned_since = owned_since
        self.acted_at = 0.0
        self.updated_at = 0.0
        self.acts = False
        self._before: float | None = None
        self._spends = SpendWindow(window_s)
        self._held = 0.0
        self._silent_units = 0.0
        self._active = 1
        self.holders: dict[str, Holder] = {}

    def take_over(self, since: float, used: float | None) -> None:
        """Begin anew: another daemon may have granted units until then.

        ``used`` is what the former owner has told, None if it has told nothing. What
        daemons have spent meanwhile is part of it.
        """
        self.owned_since = since
        self._before = used
        self.holders.clear()
        self._held = 0.0
        self._silent_units = 0.0

    def adopt(self, used: float) -> None:
        """Learn from the former owner what was used before."""
        self._before = used

    def report(self, sender: Sender, state: SpenderState, now: float) -> bool:
        """Take in a daemon's state; return whether the message is a new one."""
        holder = self.holders.get(sender.vm)
        if holder is not None and sender.incarnation == holder.former:
            return False
        if holder is None or holder.incarnation != sender.incarnation:
            former = ""
            if holder is not None:
                former = holder.incarnation
                self._lapse(holder, now)
            holder = Holder(sender.incarnation, self._known_spent(state, now), former)
            self.holders[sender.vm] = holder
        if sender.number <= holder.number:
            return False
        self._record_spent(state.spent - holder.spent, now)
        holder.number = sender.number
        holder.spent = state.spent
        self._hold(holder, max(0.0, state.held), now)
        holder.recent = max(0.0, state.recent)
        holder.heard_at = now
        return True

    def _known_spent(self, state: SpenderState, now: float) -> float:
        """Return what a daemon that was not known had spent before this window.

        An account that was taken over counts the window before as used already.
        """
        if self._taken_over_part(now) > 0:
            return state.spent
        return state.spent - max(0.0, state.recent)

    def _record_spent(self, units: float, now: float) -> None:
        if units > 0:
            self._spends.add(units, now)
        elif units < 0:
            self._spends.remove(-units, now)

    def _hold(self, holder: Holder, units: float, now: float) -> None:
        self._held += units - holder.held
        holder.held = units
        holder.lapses_at = now + LEASE_LAPSE_S

    def _lapse(self, holder: Holder, now: float) -> None:
        """Count what a daemon holds as spent; its next message corrects that."""
        self._record_spent(holder.held, now)
        holder.spent += holder.held
        self._hold(holder, 0.0, now)

    def update(
        self, allowance: Allowance, daemons: int, alive: Collection[str], now: float
    ) -> None:
        """Lapse leases, and see which daemons are silent; called periodically.

        ``alive`` are the VMs whose daemons are alive, ``daemons`` how many there are.
        """
        self.updated_at = now
        silent_units = 0.0
        self._active = 0
        silence = silence_s(self._window_s)
        for vm, holder in list(self.holders.items()):
            age_s = now - holder.heard_at
            self._active += holder.recent > 0
            if holder.held > 0 and now >= holder.lapses_at:
                self._lapse(holder, now)
            if age_s <= silence and vm in alive:
                continue
            if age_s >= 2 * self._window_s:
                del self.holders[vm]
            elif vm not in alive or allowance.is_significant(holder.recent):
                kept = holder.recent * silent_part(age_s, self._window_s)
                silent_units += max(allowance.units / max(1, daemons), kept)
        self._silent_units = silent_units
        if not self.holders:
            self._held = 0.0

    def held_back(self, allowance: Allowance, missing: int, daemons: int) -> float:
        """Return the units kept for daemons that spend without asking.

        Those of whom nothing is known may spend an equal share.
        """
        equal = missing * allowance.units / max(1, daemons)
        expected = max(self._silent_units, equal)
        return max(0.0, expected - allowance.margin)

    def used(self, allowance: Allowance, now: float) -> float:
        """Return the units used in the window, those that daemons hold included."""
        spent = self._spends.total(now)
        left = self._taken_over_part(now)
        if left > 0:
            since = self._spends.total_since(self.owned_since)
            reported = sum(item.recent for item in self.holders.values())
            before = left * self._taken_over_units(allowance)
            spent = max(spent, since + before, reported)
        return spent + self._held

    def is_new(self, now: float) -> bool:
        """Return whether this daemon has owned the workspace for a short time only."""
        return self.owned_since is not None and now < self.owned_since + NEW_S

    def _taken_over_part(self, now: float) -> float:
        """Return the part of the window before this daemon owned the workspace."""
        if self.owned_since is None:
            return 0.0
        age_s = max(0.0, now - self.owned_since - HANDOVER_S)
        return max(0.0, 1.0 - age_s / self._window_s)

    def _taken_over_units(self, allowance: Allowance) -> float:
        """Return the units that count as used when this daemon became the owner."""
        if self._before is None:
            return allowance.units + TAKEN_OVER_PART * allowance.margin
        return min(self._before, allowance.units + allowance.margin)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing would be lost with this account."""
        return not self.holders and self._spends.total(now) <= 0

    def spent_per_s(self, now: float) -> float:
        """Return the units spent a second, as a mean of the window."""
        return self._spends.total(now) / self._window_s

    def grant(
        self,
        vm: str,
        wanted: tuple[float, float, float],
        allowance: Allowance,
        limit: float,
        now: float,
    ) -> Grant:
        """Grant a daemon that has just reported units below a limit.

        ``wanted`` are the units needed, those of the smallest request, and those to
        hold.
        """
        need, first, ahead = wanted
        used = self.used(allowance, now)
        room = limit - used + EPSILON * limit
        oversize = first > limit and used <= EPSILON and first <= allowance.most
        granted = 0.0
        if need > 0 and (first <= room or oversize):
            granted = max(first, min(need, room))
        holder = self.holders[vm]
        holder.spent += granted
        holder.recent += granted
        self._record_spent(granted, now)
        held_max = HELD_PART * allowance.margin
        ahead = min(ahead, max(first, held_max / max(1, self._active)))
        held_room = held_max - self._held
        extra = min(ahead - holder.held, room - granted, held_room)
        if extra < first or extra <= 0:
            extra = 0.0
        else:
            self._hold(holder, holder.held + extra, now)
        lacking = granted + first - room
        return Grant(granted, extra, self._wait_s(lacking, allowance, now))

    def _wait_s(self, lacking: float, allowance: Allowance, now: float) -> float:
        if lacking <= 0:
            return 0.0
        wait_s = self._spends.wait_s(lacking, now)
        left = self._taken_over_part(now)
        before = self._taken_over_units(allowance)
        if left * before >= lacking:
            wait_s = min(wait_s, lacking / before * self._window_s)
        return min(wait_s, self._window_s)
