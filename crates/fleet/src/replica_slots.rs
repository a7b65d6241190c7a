//! Replica slots: each node has numbered slots, and each slot is owned by one scheduler.
//!
//! The owner is a function of the node's id, the slot number and the number of schedulers. It does not depend on data
//! that schedulers receive at different times, such as the node list or messages of other schedulers. An added
//! scheduler takes over a few slots, and all other slots keep their owner.

use peppercove::NodeId;

/// Number of slots among which a node's slow-start budget is split, and the minimum number of slots that are in use for
/// the subsets.
///
/// With eight random owners per node, if a third of the schedulers fail at once, two of 13,000 nodes are left without a
/// live owner.
pub const SLOW_START_SLOTS: u32 = 8;

/// Multiplier of the linear congruential generator in Lamping and Veach (2014).
const JUMP_HASH_MULTIPLIER: u64 = 2_862_933_555_777_941_757;

/// Mixes the bits of `x` with the finalizer of splitmix64, which gives every scheduler the same result.
fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the index of the scheduler that owns a slot of a node.
///
/// This is the jump consistent hash of Lamping and Veach (2014): when the scheduler count grows from `n` to `n + 1`,
/// the new scheduler takes over one slot in `n + 1`, and all other slots keep their owner.
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

/// Returns a scheduler's share of a node's slow-start budget, in dispatches per overload window: the sum over the slots
/// that the scheduler with index `own_index` owns.
///
/// The shares of all schedulers sum to `budget`, regardless of their subsets.
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
