//! The position of a gateway in its fleet, and the rate of what all of them do once at their start.

/// Actions per second of a whole fleet whose gateways start together, where each has one to do.
pub const START_ACTIONS_PER_SECOND: f64 = 1_000.0;

/// The position of a gateway in its fleet, from 0 to 1: by its index, or by chance where it has none.
pub fn start_position(gateways: usize, gateway_index: Option<u64>, rng: &mut fastrand::Rng) -> f64 {
    gateway_index.map_or_else(|| rng.f64(), |index| (index as f64 / gateways.max(1) as f64).fract())
}
