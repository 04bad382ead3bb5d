//! The position of a gateway in its fleet, and the rate of the actions that each gateway performs once at its start.

/// Maximum number of start-up actions per second of a whole fleet whose gateways start together and perform one action each.
pub const START_ACTIONS_PER_SECOND: f64 = 1_000.0;

/// Returns the position of a gateway in its fleet, from 0 to 1: given by its index, or random if it has none.
pub fn start_position(gateways: usize, gateway_index: Option<u64>, rng: &mut fastrand::Rng) -> f64 {
    gateway_index.map_or_else(|| rng.f64(), |index| (index as f64 / gateways.max(1) as f64).fract())
}
