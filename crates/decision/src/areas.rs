//! Which engines load a subject area and which read it. In: an area, an engine, and whether the query is a load. Out: a
//! weight, from [`LEAST`] to 1, for the choice of an engine. Rule: the weight depends on nothing but the area's number
//! and the engine's id, so all gateways agree on it without exchanging anything.
//!
//! A load holds its area on its engine until it ends, and queries that wait for loads stand still there. A gateway knows
//! of its own loads alone; one of hundreds sees next to none of them. Each area therefore orders the engines by a hash of
//! its own (rendezvous hashing): its readers prefer one end of that order, its loads the other. Readers of one area that
//! meet on few engines also find it warm there.

use crate::interface::DataSet;

/// How sharply the readers' preference falls along the order: half of their weight lies on an eighth of the engines.
const READERS: i32 = 4;

/// The same of loads, which wait for each other on an engine: half of their weight lies on a fifth of the engines.
const LOADS: i32 = 2;

/// The weight of the least preferred engine. Above 0: where all others are full or away it is used.
pub const LEAST: f64 = 0.01;

/// How much of its usual weight an engine keeps in the choice for a query on that area. `engine` is the engine's number
/// for hashing, the same on every gateway.
pub fn preference(area: DataSet, engine: u64, is_load: bool) -> f64 {
    let place = place(area, engine);
    let weight = if is_load { (1.0 - place).powi(LOADS) } else { place.powi(READERS) };
    weight.max(LEAST)
}

/// The engine's place in the order of that area, evenly from 0 to 1.
fn place(area: DataSet, engine: u64) -> f64 {
    let mixed_area = fastrand::Rng::with_seed(area.0).u64(..);
    fastrand::Rng::with_seed(engine ^ mixed_area).f64()
}

#[cfg(test)]
mod tests;
