import random
import unittest

from boragedeck.connection.memory_budget import (
    MAX_SUSPECTS,
    MIN_CUT_BYTES,
    PROGRESS_BYTES,
    SLOW_AFTER_S,
    SMALL_BYTES,
    SUSPECT_SLOW_AFTER_S,
    SUSPECT_TTL_S,
    Grant,
    MemoryBudget,
    Phase,
    Use,
)

MB = 1024 * 1024
LIMIT = 24 * MB
BODY = 4 * MB
LATER = SLOW_AFTER_S + 0.1


def budget_with(*addresses, use=Use.BODY, count=BODY):
    """Return a budget and a holding of so many bytes for each address."""
    budget = MemoryBudget(LIMIT)
    holdings = [budget.open(address, lambda: None, 0.0) for address in addresses]
    grants = [budget.ask(holding, use, count) for holding in holdings]
    return budget, holdings, grants


class GrantTest(unittest.TestCase):
    """They guard against a sum over the limit, and refusals while there is room."""

    def test_bodies_are_granted_until_their_room_is_full(self):
        _, _, grants = budget_with("a", "b", "c")
        self.assertEqual(grants, [Grant.GRANTED, Grant.GRANTED, Grant.NO_ROOM])

    def test_answers_find_room_beside_as_many_bodies_as_fit(self):
        budget, (first, second), _ = budget_with("a", "b")
        for holding in (first, second):
            self.assertIs(budget.ask(holding, Use.ANSWER, BODY), Grant.GRANTED)
        self.assertLessEqual(budget.used, LIMIT)

    def test_small_requests_find_room_while_large_ones_find_none(self):
        budget, _, _ = budget_with("a", "b", "c", "d", "e", use=Use.ANSWER)
        large = budget.open("f", lambda: None, 0.0)
        self.assertIs(budget.ask(large, Use.ANSWER, BODY), Grant.NO_ROOM)
        small = budget.open("f", lambda: None, 0.0)
        self.assertIs(budget.ask(small, Use.BODY, SMALL_BYTES), Grant.GRANTED)

    def test_small_requests_find_room_while_streams_exceed_the_sum(self):
        budget = MemoryBudget(LIMIT)
        budget.add(budget.open("a", lambda: None, 0.0), Use.UNSENT, 2 * LIMIT)
        small = budget.open("b", lambda: None, 0.0)
        self.assertIs(budget.ask(small, Use.ANSWER, SMALL_BYTES), Grant.GRANTED)
        large = budget.open("b", lambda: None, 0.0)
        self.assertIs(budget.ask(large, Use.ANSWER, BODY), Grant.NO_ROOM)

    def test_one_address_leaves_room_for_another(self):
        count = 500_000
        budget, _, grants = budget_with(*"a" * 40, use=Use.ANSWER, count=count)
        self.assertIn(Grant.NO_ROOM, grants)
        other = budget.open("b", lambda: None, 0.0)
        self.assertIs(budget.ask(other, Use.ANSWER, count), Grant.GRANTED)

    def test_one_organisation_leaves_room_for_another(self):
        budget = MemoryBudget(LIMIT)
        for number in range(40):
            holding = budget.open(f"a{number}", lambda: None, 0.0)
            budget.name_organisation(holding, "large")
            grant = budget.ask(holding, Use.ANSWER, 500_000)
        self.assertIs(grant, Grant.NO_ROOM)
        other = budget.open("b", lambda: None, 0.0)
        self.assertIs(budget.ask(other, Use.ANSWER, 500_000), Grant.GRANTED)

    def test_body_that_never_fits_is_told_from_one_that_has_to_wait(self):
        _, _, grants = budget_with("a", count=LIMIT)
        self.assertEqual(grants, [Grant.TOO_LARGE])

    def test_closed_holding_gets_nothing_and_gives_back_once(self):
        budget, (holding,), _ = budget_with("a")
        budget.close(holding)
        budget.close(holding)
        budget.give_back(holding, Use.BODY, BODY)
        budget.add(holding, Use.UNSENT, BODY)
        self.assertIs(budget.ask(holding, Use.BODY, 1), Grant.NO_ROOM)
        self.assertEqual(budget.used, 0)


class CutTest(unittest.TestCase):
    """They guard against cutting callers that aren't slow, or that disturb nobody."""

    def choose(self, budget, address, now=LATER, count=BODY):
        asker = budget.open(address, lambda: None, now)
        return budget.choose_cut(asker, count, now)

    def test_slow_body_is_cut_for_another_after_a_while_only(self):
        budget, (slow, _), _ = budget_with("a", "a")
        self.assertIsNone(self.choose(budget, "a", now=SLOW_AFTER_S - 0.1))
        self.assertIs(self.choose(budget, "a"), slow)

    def test_caller_that_is_fast_enough_is_not_cut(self):
        budget, (holding,), _ = budget_with("a")
        holding.note_moved(PROGRESS_BYTES, LATER - SLOW_AFTER_S / 2)
        self.assertIsNone(self.choose(budget, "a"))

    def test_body_that_stops_after_it_came_fast_is_slow(self):
        budget, (holding,), _ = budget_with("a")
        holding.note_moved(BODY - 1, 0.5)
        self.assertIsNone(self.choose(budget, "a", now=0.6 + SLOW_AFTER_S / 2))
        self.assertIs(self.choose(budget, "a", now=0.6 + SLOW_AFTER_S), holding)

    def test_request_that_runs_is_not_cut(self):
        budget, (holding,), _ = budget_with("a")
        holding.enter(Phase.RUNNING, 0.0)
        self.assertIsNone(self.choose(budget, "a"))
        holding.enter(Phase.SENDING, 0.0)
        self.assertIs(self.choose(budget, "a"), holding)

    def test_address_that_holds_most_is_cut_first_and_then_the_slowest(self):
        budget, holdings, _ = budget_with("b", "a", "a", use=Use.ANSWER)
        holdings[1].moved = 10_000
        self.assertIs(self.choose(budget, "c"), holdings[2])

    def test_address_that_holds_less_than_the_asker_is_not_cut(self):
        budget, holdings, _ = budget_with("a", "b", use=Use.ANSWER)
        asker = budget.open("a", lambda: None, 0.0)
        holdings[0].enter(Phase.RUNNING, 0.0)
        self.assertIsNone(budget.choose_cut(asker, BODY, LATER))

    def test_nobody_else_is_cut_while_bytes_of_a_cut_request_are_awaited(self):
        budget, (slow, other), _ = budget_with("a", "a")
        slow.is_cut = True
        self.assertIsNone(self.choose(budget, "a"))
        budget.close(slow)
        self.assertIs(self.choose(budget, "a"), other)

    def test_caller_that_holds_little_is_not_cut(self):
        budget, _, _ = budget_with("a", count=MIN_CUT_BYTES - 1)
        self.assertIsNone(self.choose(budget, "a"))

    def test_asker_is_not_cut_for_itself(self):
        budget, (holding,), _ = budget_with("a")
        self.assertIsNone(budget.choose_cut(holding, BODY, LATER))
        self.assertIs(budget.choose_cut(None, BODY, LATER), holding)


class SuspectTest(unittest.TestCase):
    """They guard against slow callers that come again and keep others waiting."""

    SOON = SUSPECT_SLOW_AFTER_S + 0.1

    def setUp(self):
        self.budget = MemoryBudget(LIMIT)
        ended = self.budget.open("slow", lambda: None, 0.0)
        self.budget.note_cut(ended, 0.0)
        self.budget.close(ended)
        self.again = self.holding("slow")

    def holding(self, address, now=0.0):
        found = self.budget.open(address, lambda: None, now)
        self.budget.ask(found, Use.ANSWER, BODY)
        found.enter(Phase.SENDING, now)
        return found

    def test_suspect_is_cut_sooner_for_others_only(self):
        for address, expected in (("other", self.again), ("slow", None)):
            asker = self.budget.open(address, lambda: None, 0.0)
            found = self.budget.choose_cut(asker, BODY, self.SOON)
            self.assertIs(found, expected)

    def test_unsuspected_caller_is_not_cut_sooner(self):
        self.budget.close(self.again)
        self.holding("unknown")
        asker = self.budget.open("other", lambda: None, 0.0)
        self.assertIsNone(self.budget.choose_cut(asker, BODY, self.SOON))

    def test_suspicion_ends(self):
        now = SUSPECT_TTL_S + 0.1
        self.again.enter(Phase.SENDING, now)
        asker = self.budget.open("other", lambda: None, now)
        self.assertIsNone(self.budget.choose_cut(asker, BODY, now + self.SOON))

    def test_number_of_suspects_is_bounded(self):
        for number in range(MAX_SUSPECTS + 10):
            holding = self.budget.open(str(number), lambda: None, 0.0)
            self.budget.note_cut(holding, 0.0)
        self.assertEqual(len(self.budget._suspects), MAX_SUSPECTS)


class RandomUseTest(unittest.TestCase):
    """Guards against counts that don't return to zero, which would refuse everybody."""

    def test_all_counts_are_gone_once_all_requests_have_ended(self):
        rng = random.Random(5)
        budget, holdings = MemoryBudget(LIMIT), []
        for step in range(4_000):
            if not holdings or rng.random() < 0.2:
                address = f"10.0.0.{rng.randrange(5)}"
                holdings.append(budget.open(address, lambda: None, float(step)))
            holding, use = rng.choice(holdings), rng.choice(list(Use))
            count = rng.randrange(2 * MB)
            match rng.randrange(5):
                case 0:
                    budget.ask(holding, use, count)
                    self.assertLessEqual(budget.held[Use.BODY], LIMIT)
                case 1 if use in (Use.UNSENT, Use.AHEAD):
                    budget.add(holding, use, count // 16)
                case 2:
                    budget.give_back(holding, use, count)
                case 3:
                    budget.name_organisation(holding, rng.choice(["x", "y"]))
                case 4:
                    budget.close(holding)
                    holdings.remove(holding)
            self.assertEqual(budget.used, sum(each.total for each in holdings))
        for holding in holdings:
            budget.close(holding)
        self.assertEqual(budget.used, 0)
        self.assertEqual(budget._of_party, {})
        self.assertEqual(budget._bodies_of_party, {})
