//! Hash functions that give the same results at every scheduler.

/// Mixes the bits of an identifier with the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
pub(super) fn mix_bits(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Converts mixed bits to a number in the interval [0, 1).
pub(super) fn unit_interval(bits: u64) -> f64 {
    const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
    (bits >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
