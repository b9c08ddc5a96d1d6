//! SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): mixing function and generator.

const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the output for state `x`.
#[inline]
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(INCREMENT);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Advances the generator and returns its output.
pub(crate) fn next(state: &mut u64) -> u64 {
    let output = mix(*state);
    *state = state.wrapping_add(INCREMENT);
    output
}
