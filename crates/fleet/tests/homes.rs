//! Homes of services: the same machines at all schedulers as without a view.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;

/// The homes of a service, best first, from the whole list.
fn homes(lines: &[NodeEntry], service: u64, kind: Option<u8>) -> Vec<NodeId> {
    let usable = lines
        .iter()
        .filter(|l| l.state == NodeStatus::Ready && kind.is_none_or(|k| k == l.kind));
    let rank = |l: &NodeEntry| preferred_node_rank(ServiceId(service), l.node, 16.0);
    let mut ranked: Vec<(f64, NodeId)> = usable.map(|l| (rank(l), l.node)).collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    ranked
        .into_iter()
        .take(8)
        .map(|(_, machine)| machine)
        .collect()
}

/// The second class runs on the second kind alone.
fn of_kind(settings: Settings) -> Settings {
    let mut settings = settings;
    settings.classes[1].node_kind = Some(1);
    settings
}

#[test]
fn all_schedulers_see_the_homes_that_the_whole_list_gives_as_it_changes() {
    let mut rng = fastrand::Rng::with_seed(4);
    let view =
        |own| NodeSubset::with_target_size(Told::default(), &of_kind(settings(100, own)), 64);
    let mut views: Vec<NodeSubset<Told>> = (0..4).map(view).collect();
    let mut truth = lines(0..1_000);
    let mut now = SECOND;
    let whole = list(ListUpdateKind::Full, 1, truth.clone());
    views
        .iter_mut()
        .for_each(|view| drop(view.decide(now, std::slice::from_ref(&whole))));
    // Eight services keep their homes in view at this size.
    let services: Vec<u64> = (0..7).collect();
    for round in 2..60 {
        now += SECOND;
        // Among those that change are homes.
        let mut changed: Vec<usize> = (0..5).map(|_| rng.usize(0..truth.len())).collect();
        let service = services[rng.usize(0..services.len())];
        let best = homes(&truth, service, None)[rng.usize(0..8)];
        changed.push(truth.iter().position(|line| line.node == best).unwrap());
        let states = [NodeStatus::Ready, NodeStatus::Draining, NodeStatus::Gone];
        changed
            .iter()
            .for_each(|i| truth[*i].state = states[rng.usize(0..3)]);
        let event = match round % 5 {
            0 => list(ListUpdateKind::Full, round, truth.clone()),
            _ => list(
                ListUpdateKind::Incremental,
                round,
                changed.iter().map(|i| truth[*i].clone()).collect(),
            ),
        };
        for view in &mut views {
            view.decide(now, std::slice::from_ref(&event));
            for service in &services {
                let class = (service % 2) as u16;
                view.decide(
                    now,
                    &[Event::Place(ask(round * 100 + service, class, *service))],
                );
                view.decide(
                    now,
                    &[Event::RequestCancelled(RequestId(round * 100 + service))],
                );
            }
            // Once in view they follow the list, before the next task comes.
            for service in &services {
                let kind = (service % 2 == 1).then_some(1);
                for home in homes(&truth, *service, kind) {
                    assert!(
                        view.contains(home) && view.inner().open(home),
                        "{home:?} of {service} in {round}"
                    );
                }
            }
        }
    }
}

#[test]
fn schedulers_with_other_views_bring_a_service_to_the_same_machines() {
    let all = lines(0..2_000);
    for service in 0..10 {
        let first_homes = homes(&all, service, None);
        for own in (0..100).step_by(9) {
            let mut driver = Driver::new(&settings(100, own), 64, u64::from(own));
            driver.list(ListUpdateKind::Full, all.clone());
            let machine = driver
                .place(ask(1, 0, service), driver.now)
                .expect("a machine");
            assert!(
                first_homes[..2].contains(&machine),
                "{machine:?} is no home: {first_homes:?}"
            );
        }
    }
}

#[test]
fn homes_that_are_not_used_leave_the_view_first() {
    let mut view = told(100, 0, 64);
    view.decide(SECOND, &[list(ListUpdateKind::Full, 1, lines(0..2_000))]);
    let own = view.len();
    let all = lines(0..2_000);
    for service in 0..150 {
        // One of them comes again and again, and stays. Both are over at once, so that nothing waits for room.
        for (request, service) in [(service, service), (1_000 + service, 7_000)] {
            let come_and_gone = [
                Event::Place(ask(request, 0, service)),
                Event::RequestCancelled(RequestId(request)),
            ];
            view.decide(SECOND + request, &come_and_gone);
        }
        let kept = (service.saturating_sub(5)..=service).chain([7_000]);
        let in_view = |service| {
            homes(&all, service, None)
                .iter()
                .all(|home| view.contains(*home))
        };
        assert!(kept.into_iter().all(in_view), "after {service}");
        assert!(view.len() <= own + 64, "{} machines, {own} own", view.len());
        // The module is told of what comes and of what leaves.
        let agree = |line: &NodeEntry| view.inner().open(line.node) == view.contains(line.node);
        assert!(service % 20 > 0 || all.iter().all(agree), "after {service}");
    }
}
