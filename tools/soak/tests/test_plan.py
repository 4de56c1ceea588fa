import testtools

from ..plan import TAIL_S, Action, draw_plan

SECONDS = 16.0
SEEDS = range(200)


def list_rows(things):
    return [[getattr(thing, name) for name in thing.__slots__] for thing in things]


class PlanTests(testtools.TestCase):
    def test_seed_gives_the_same_plan_each_time(self):
        first, second = (draw_plan(7, SECONDS) for _ in range(2))
        self.assertEqual(list_rows(first.events), list_rows(second.events))
        self.assertEqual(list_rows(first.callers), list_rows(second.callers))
        self.assertEqual(first.work_s, second.work_s)

    def test_events_come_in_order_and_name_vms(self):
        for seed in SEEDS:
            plan = draw_plan(seed, SECONDS)
            times = [event.at_s for event in plan.events]
            self.assertEqual(sorted(times), times)
            vms = len(plan.services) * len(plan.zones)
            self.assertTrue(all(event.vm < vms for event in plan.events))

    def test_each_plan_stops_a_node_while_the_load_goes_on(self):
        for seed in SEEDS:
            plan = draw_plan(seed, SECONDS)
            stops = [e.at_s for e in plan.events if e.action is Action.STOP]
            self.assertTrue(stops)
            self.assertTrue(min(stops) <= SECONDS - TAIL_S)

    def test_all_actions_and_several_signals_to_one_node_occur(self):
        plans = [draw_plan(seed, SECONDS) for seed in SEEDS]
        actions = {event.action for plan in plans for event in plan.events}
        self.assertEqual(set(Action), actions)

    def test_number_of_vms_can_be_given(self):
        for vms in (2, 3, 4, 6, 8):
            plan = draw_plan(1, SECONDS, vms)
            self.assertEqual(vms, len(plan.services) * len(plan.zones))
