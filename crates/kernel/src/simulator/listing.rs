//! Controllers and the node list.

use super::{Happens, World};
use peppercove::Micros;
use peppercove_audit::Observation;
use peppercove_core::Input;
use peppercove_exchange::node_list_input;
use peppercove_protocol::list::FromList;
use peppercove_standins::node_registry::NodeSnapshot;

/// A controller's subscription.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Subscription {
    /// Counts them; what was sent on an earlier one is not heard.
    number: u64,
    stands: bool,
    /// The last news under way arrives then.
    last: Micros,
}

impl World<'_> {
    pub(super) fn publish(&mut self) {
        let stations = &self.stations;
        let look = |address| {
            stations
                .iter()
                .find(|s| s.address == address)
                .map(|s| NodeSnapshot::of(&s.model))
        };
        let news = self.roster.publish(self.now, look);
        if let Some(news) = news.filter(|_| self.list_down == 0) {
            for seat in 0..self.seats.len() {
                let list = self.seats[seat].process.as_ref().map(|p| (p.life, p.list));
                if let Some((life, _)) = list.filter(|(_, list)| list.stands) {
                    self.tell_list(seat, life, Some(news.clone()));
                }
            }
        }
        // The list looks at the clock every few milliseconds.
        let next = self.roster.next_publication().max(self.now + 5_000);
        self.at(next, Happens::Publish);
    }

    fn tell_list(&mut self, seat: usize, life: u64, news: Option<FromList>) {
        let latency = self.latency();
        let now = self.now;
        let Some(process) = self.process(seat, life) else {
            return;
        };
        let list = &mut process.list;
        list.last = (now + latency).max(list.last + 1);
        let (at, subscription) = (list.last, list.number);
        self.at(
            at,
            Happens::News {
                seat,
                life,
                subscription,
                news: news.map(Box::new),
            },
        );
    }

    pub(super) fn call_list(&mut self, seat: usize, life: u64) {
        let (now, down) = (self.now, self.list_down > 0);
        let Some(process) = self.process(seat, life) else {
            return;
        };
        if down {
            process.list.number += 1;
            process.list.stands = false;
            return self.tell_list(seat, life, None);
        }
        process.list.stands = true;
        let generation = process.core.nodes().generation;
        let news = self
            .roster
            .update(now, (generation > 0).then_some(generation));
        self.tell_list(seat, life, Some(news));
    }

    pub(super) fn list_news(
        &mut self,
        seat: usize,
        life: u64,
        subscription: u64,
        news: Option<Box<FromList>>,
    ) {
        let controller = self.seats[seat].config.name.clone();
        let Some(process) = self
            .process(seat, life)
            .filter(|p| p.list.number == subscription)
        else {
            return;
        };
        let Some(news) = news else {
            process.list.stands = false;
            self.input(seat, Input::NodeListFailed);
            if !self.seats[seat].config.scheduler.is_list_polled {
                let scatter = self.rng.f64();
                let Some(process) = self.process(seat, life) else {
                    return;
                };
                let wait = process.list_retry.next_delay(scatter).as_micros() as Micros;
                self.after(wait, Happens::CallList { seat, life });
            }
            return;
        };
        process.list_retry.reset();
        self.see(Observation::List {
            controller,
            news: (*news).clone(),
        });
        if let Some(input) = node_list_input(*news) {
            self.input(seat, input);
        }
    }

    /// The list goes out of reach: every subscription breaks.
    pub(super) fn list_breaks(&mut self) {
        for seat in 0..self.seats.len() {
            let Some(process) = self.seats[seat].process.as_mut().filter(|p| p.list.stands) else {
                continue;
            };
            process.list.number += 1;
            process.list.stands = false;
            let life = process.life;
            self.tell_list(seat, life, None);
        }
    }
}
