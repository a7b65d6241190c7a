//! Replica slots: each node has numbered slots, and each slot is owned by one scheduler.
//!
//! The owner follows from the node's id, the slot number and the number of schedulers, and from nothing that arrives
//! late: neither the node list nor messages of other schedulers. When a scheduler is added it takes over a few slots
//! and no other slot changes its owner.

use peppercove::NodeId;

/// Slots among which the slow-start budget of a node is split, and the fewest slots that count for the subsets.
///
/// With eight owners drawn at random and a third of the schedulers dead at once, two nodes of 13,000 have no living
/// owner.
pub const SLOW_START_SLOTS: u32 = 8;

/// Multiplier of the linear congruential generator in Lamping and Veach (2014).
const JUMP_HASH_MULTIPLIER: u64 = 2_862_933_555_777_941_757;

/// Mixes the bits of `x` by the finalizer of splitmix64; every scheduler gets the same result.
fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Index of the scheduler that owns a slot of a node.
///
/// This is the jump consistent hash of Lamping and Veach (2014): of `n + 1` schedulers the new one owns one slot in
/// `n + 1`, and all other slots keep their owner.
pub fn slot_owner(node: NodeId, slot: u32, schedulers: u32) -> u32 {
    let mut key = mix_bits(node.0 ^ mix_bits(u64::from(slot) + 1));
    let mut owner = 0_u64;
    let mut next = 0_u64;
    while next < u64::from(schedulers) {
        owner = next;
        key = key.wrapping_mul(JUMP_HASH_MULTIPLIER).wrapping_add(1);
        let uniform = (1_u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((owner + 1) as f64 * uniform) as u64;
    }
    owner as u32
}

/// This scheduler's share of a node's slow-start budget: dispatches within the overload window, summed over the
/// slots that the scheduler with index `own_index` owns.
///
/// Over all schedulers the shares sum to `budget`, whatever their subsets are.
pub fn slow_start_share(node: NodeId, own_index: u32, schedulers: u32, budget: u64) -> u32 {
    let slots = u64::from(SLOW_START_SLOTS);
    let share_of_slot = |slot: u32| {
        let takes_remainder = u64::from(slot) < budget % slots;
        budget / slots + u64::from(takes_remainder)
    };
    let own_slots =
        (0..SLOW_START_SLOTS).filter(|slot| slot_owner(node, *slot, schedulers) == own_index);
    u32::try_from(own_slots.map(share_of_slot).sum::<u64>()).unwrap_or(u32::MAX)
}
