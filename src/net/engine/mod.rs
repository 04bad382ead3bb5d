//! Engine wires: they turn attempts into what engines read, and what these say into outcomes.

pub mod clickhouse;
pub mod pool;
pub mod resp;
