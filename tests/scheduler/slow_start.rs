//! Attempts sent to nodes that warm up.

use super::support::*;
use peppercove::*;

#[test]
fn schedulers_share_exactly_the_slow_start_budget_of_a_node() {
    // Found in incident i619635: with more schedulers than attempts no node got work until it was
    // warm.
    let settings = Settings {
        schedulers: 50,
        ..Settings::sample()
    };
    let fresh = NodeEntry {
        started_at: 4 * SECOND,
        ..node_entry(0, 0)
    };
    let mut sent = Vec::new();
    for own_index in 0..50 {
        let mut scheduler = Scheduler::new(
            Settings {
                own_index,
                ..settings.clone()
            },
            own_index.into(),
        );
        scheduler.handle(
            SECOND,
            &[node_list(ListUpdateKind::Full, 1, vec![fresh.clone()])],
        );
        for i in 0..100 {
            let now = 4 * SECOND + i * SECOND / 10;
            for _ in dispatches(&scheduler.handle(now, &[Event::Place(task(i, 0, i))])) {
                sent.push(now);
            }
        }
    }
    let most = |from: Micros| {
        sent.iter()
            .filter(|at| (from..from + settings.overload_window).contains(*at))
            .count()
    };
    let busiest = sent.iter().map(|at| most(*at)).max();
    assert_eq!(
        busiest,
        Some(settings.slow_start_budget as usize),
        "the whole budget, and no more"
    );
}

#[test]
fn schedulers_that_restart_stay_within_the_slow_start_budget_of_a_node() {
    // Budgets below and above the number of schedulers, each asked far more often than its share.
    for (schedulers, budget) in [(20_u32, 8.0), (30, 20.0), (30, 100.0)] {
        let settings = Settings {
            schedulers,
            slow_start_budget: budget,
            ..Settings::sample()
        };
        let fresh = NodeEntry {
            started_at: 4 * SECOND,
            incarnation: 4 * SECOND,
            ..node_entry(0, 0)
        };
        let news = |kind| node_list(kind, 1, vec![fresh.clone()]);
        let mut sent = Vec::new();
        for own_index in 0..schedulers {
            let new = || {
                Scheduler::new(
                    Settings {
                        own_index,
                        ..settings.clone()
                    },
                    u64::from(own_index) + 1,
                )
            };
            let mut scheduler = new();
            scheduler.handle(SECOND, &[node_list(ListUpdateKind::Cached, 0, vec![])]);
            scheduler.handle(4 * SECOND, &[news(ListUpdateKind::Full)]);
            for i in 0..150 {
                let now = 4 * SECOND + i * SECOND / 10;
                // Two in three restart without memory, some of them repeatedly, each at its own
                // time.
                let n = u64::from(own_index);
                if n % 3 > 0 && i % (17 + 40 * (n % 3)) == n {
                    scheduler = new();
                    scheduler.handle(now, &[news(ListUpdateKind::Cached)]);
                }
                let actions = scheduler.handle(now, &[Event::Place(task(i, 0, i))]);
                sent.extend(dispatches(&actions).iter().map(|_| now));
            }
        }
        let most = |from: Micros| {
            sent.iter()
                .filter(|at| (from..from + settings.overload_window).contains(*at))
                .count()
        };
        let busiest = sent.iter().map(|at| most(*at)).max().unwrap_or(0);
        assert!(
            busiest <= budget as usize,
            "{busiest} of {budget} by {schedulers}"
        );
        assert!(
            busiest * 2 >= budget as usize,
            "and it is used: {busiest} of {budget}"
        );
    }
}
