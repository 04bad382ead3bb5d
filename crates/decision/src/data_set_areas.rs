//! Separates the engines that load a data set from those that read it. Input: a data set, an engine, and the
//! information whether the query is a load. Output: a weight from [`MIN_WEIGHT`] to 1 for engine selection. The
//! weight depends only on the identifiers of the data set and the engine, so all gateways compute the same one
//! without communicating.
//!
//! A load locks its data set on its engine until the load ends, and queries that wait for loads wait there. A gateway
//! knows only of its own loads, and one of hundreds of gateways sends very few of all loads. Each data set therefore
//! orders the engines by its own hash (rendezvous hashing): readers of the data set prefer one end of that order, and
//! loads the other. Because few engines serve most readers of a data set, these engines are also more likely to have
//! it cached.

use crate::types::DataSet;

/// Exponent of the readers' weight along the order: half of the weight is on an eighth of the engines.
const READER_EXPONENT: i32 = 4;

/// Exponent of the weight of loads, which wait for each other on an engine: half of the weight is on a fifth of the
/// engines.
const LOAD_EXPONENT: i32 = 2;

/// Weight of the least preferred engine. Above 0, so that the engine is still used when all others are full or
/// ejected.
const MIN_WEIGHT: f64 = 0.01;

/// Returns the factor, up to 1, by which the weight of an engine is multiplied for a query on that data set.
/// `engine_hash` is the hash of the engine's identifier, the same on every gateway.
pub(crate) fn preference(data: DataSet, engine_hash: u64, is_load: bool) -> f64 {
    let position = position(data, engine_hash);
    let weight = if is_load { (1.0 - position).powi(LOAD_EXPONENT) } else { position.powi(READER_EXPONENT) };
    weight.max(MIN_WEIGHT)
}

/// Returns the engine's position in the order of that data set, evenly distributed from 0 to 1.
fn position(data: DataSet, engine_hash: u64) -> f64 {
    let data_hash = fastrand::Rng::with_seed(data.0).u64(..);
    fastrand::Rng::with_seed(engine_hash ^ data_hash).f64()
}

#[cfg(test)]
mod tests;
