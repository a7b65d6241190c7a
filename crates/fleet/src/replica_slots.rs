//! Which schedulers a machine belongs to: each machine has numbered slots, and each slot one owner among the schedulers.
//!
//! The owner follows from the machine's id, the slot and how many schedulers there are, and from nothing that is told
//! late: no list and no word of another scheduler. One scheduler more takes a slot over here and there and moves no other.

use peppercove::NodeId;

/// Slots among which the ramp of a cold machine is split, and the fewest that put a machine into views. Eight owners drawn
/// at random: with a third of the schedulers dead at once two machines of 13,000 are left without one.
pub const COLD_START_SLOTS: u32 = 8;

/// A fixed mixing of bits (the finish of splitmix64), equal at every scheduler.
fn scatter(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The number of the scheduler that owns a slot of a machine, by the jump consistent hash of Lamping and Veach (2014): of
/// `n + 1` schedulers the new one owns one slot in `n + 1`, and all others stay where they were.
pub fn slot_owner(machine: NodeId, slot: u32, schedulers: u32) -> u32 {
    let mut key = scatter(machine.0 ^ scatter(u64::from(slot) + 1));
    let (mut held, mut next) = (0_u64, 0_u64);
    while next < u64::from(schedulers) {
        held = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        next = ((held + 1) as f64 * ((1_u64 << 31) as f64 / ((key >> 33) + 1) as f64)) as u64;
    }
    held as u32
}

/// Offers of those that a cold machine always bears which are this scheduler's own, within the window: those of its slots.
/// Over all schedulers they are `bears`, whatever views they have.
pub fn cold_start_share(machine: NodeId, own: u32, schedulers: u32, bears: u64) -> u32 {
    let share = |slot: u32| {
        bears / u64::from(COLD_START_SLOTS)
            + u64::from(u64::from(slot) < bears % u64::from(COLD_START_SLOTS))
    };
    let own = (0..COLD_START_SLOTS).filter(|slot| slot_owner(machine, *slot, schedulers) == own);
    u32::try_from(own.map(share).sum::<u64>()).unwrap_or(u32::MAX)
}
