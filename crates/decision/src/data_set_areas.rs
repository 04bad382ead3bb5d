//! Which engines load a data set and which read it. In: a data set, an engine, and whether the query is a load. Out: a
//! weight, from [`MIN_WEIGHT`] to 1, for engine selection. The weight depends on nothing but the data set's number and
//! the engine's identifier, so all gateways agree on it without exchanging anything.
//!
//! A load locks its data set on its engine until it ends, and queries that wait for loads wait there. A gateway knows
//! of its own loads alone; one of hundreds sees next to none of them. Each data set therefore orders the engines by a
//! hash of its own (rendezvous hashing): its readers prefer one end of that order, its loads the other. Readers of one
//! data set that meet on few engines also find it cached there.

use crate::types::DataSet;

/// How sharply the readers' preference falls along the order: half of their weight lies on an eighth of the engines.
const READER_EXPONENT: i32 = 4;

/// The same of loads, which wait for each other on an engine: half of their weight lies on a fifth of the engines.
const LOAD_EXPONENT: i32 = 2;

/// The weight of the least preferred engine. Above 0: where all others are full or ejected it is used.
const MIN_WEIGHT: f64 = 0.01;

/// How much of its usual weight an engine keeps in the choice for a query on that data set. `engine_hash` is the
/// engine's number for hashing, the same on every gateway.
pub(crate) fn preference(data: DataSet, engine_hash: u64, is_load: bool) -> f64 {
    let position = position(data, engine_hash);
    let weight = if is_load { (1.0 - position).powi(LOAD_EXPONENT) } else { position.powi(READER_EXPONENT) };
    weight.max(MIN_WEIGHT)
}

/// The engine's position in the order of that data set, evenly distributed from 0 to 1.
fn position(data: DataSet, engine_hash: u64) -> f64 {
    let data_hash = fastrand::Rng::with_seed(data.0).u64(..);
    fastrand::Rng::with_seed(engine_hash ^ data_hash).f64()
}

#[cfg(test)]
mod tests;
