//! Endpoint list entries and events, and configurations of controllers.

use std::net::SocketAddr;

/// The list entry of a node, as one line of JSON.
pub fn list_entry(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"box","cell":3,"state":"{state}","weight":1,
        "started_ms":0,"room":[30,60]}}"#
    )
    .replace('\n', "")
}

/// An event of the journal service.
pub fn list_event(position: u64, is_full: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(
        r#"{{"pos":{position},"hosts":{{"version":{position},"full":{is_full},"servers":[{entries}]}}}}"#
    )
}

/// Settings with three classes: `any` is idempotent, `key` is keyed with its rack as the deduplication scope, and `one`
/// is non-idempotent. The dial timeout is long, because a [`Peer`](super::peer::Peer) answers connection tests only
/// while the test receives from it.
pub const SETTINGS: &str = r#"{"areas":["z"],"flavors":["box"],
  "caps":{"dial-timeout":5000000,"max-attempts":3,"may-cancel":true,"may-duplicate":false},
  "classes":[
    {"name":"any","deadline":4000000,"group":"all","objective":900000,"repeat":"idempotent","worth":1},
    {"name":"key","deadline":4000000,"group":"cell","objective":900000,"repeat":"deduplicated","window":3000000,"worth":1},
    {"name":"one","deadline":4000000,"group":"all","objective":900000,"repeat":"at_most_once","worth":1}],
  "fleet-size":1,"registry-mode":"pushed","tick":1000,
  "guarantees":{"answer-slack":5000,"ask-every":10000000,"cold-from":0.2,"fall-multiple":2.5,
    "stop-sending-within":250000,"tip-after":2000000,"warm-within":9000000},
  "report":{"fields":["x0","x1","cpu","waiting"]},
  "specifics":{"accepts-memory":1.5,"admit-cores":2.0,"apart-by":["off","off","off"],"class-calm":[1,1,1],
    "class-fade":[1,1,1],"class-kind":[-1,-1,-1],"class-most":[9,9,9],"cold-bears":20,"confirms":"running",
    "makes-room":false,"make-sure":3000000,"mean-memory":2,"memory-by-kind":[64],"priority-by-class":[0,1,1],
    "report-counts":"asked","size-cores":[32],"start-seconds":[5,5,5],"usual-cores":1,"view":true}}"#;

/// The name of the controller in tests with a single one.
pub const CONTROLLER: &str = "t1";

/// The parts of a configuration that differ between tests.
pub struct Configuration<'a> {
    /// The controller's name.
    pub name: &'a str,
    /// The address of the journal service.
    pub journal: SocketAddr,
    /// Limit of file descriptors of the controller.
    pub sockets: usize,
    /// Memory limit in megabytes.
    pub memory_mb: usize,
    /// The position of the last known event, and all events up to it.
    pub known: (u64, String),
    /// The settings.
    pub settings: &'a str,
}

impl Configuration<'_> {
    /// The configuration as JSON.
    pub fn text(&self) -> String {
        let Configuration {
            name,
            journal,
            sockets,
            memory_mb,
            known,
            settings,
        } = self;
        let (position, events) = known;
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"00000000000000ff",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"journal":"{journal}",
            "known":{{"pos":{position},"entries":[{events}]}},"settings":{settings}}}"#
        )
    }
}

/// The memory limit of a single controller, in MiB.
pub const MEMORY_MB: usize = 32;

/// The configuration of a single controller that knows the nodes with these list entries.
pub fn config(journal: SocketAddr, entries: &[String], sockets: usize) -> String {
    let known = (1, list_event(1, true, entries));
    let (name, settings) = (CONTROLLER, SETTINGS);
    Configuration {
        name,
        journal,
        sockets,
        memory_mb: MEMORY_MB,
        known,
        settings,
    }
    .text()
}

/// Replaces a part of a text; fails if the text does not contain it.
pub fn replaced(text: &str, part: &str, other: &str) -> String {
    assert!(text.contains(part), "{part} is not in {text}");
    text.replace(part, other)
}
