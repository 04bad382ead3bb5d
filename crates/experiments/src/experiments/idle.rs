//! `idle`: closed loops on idle engines. Measures rejections, and the latency that the gateway adds. The baseline is the same loop with
//! direct connections to the engines. Loaded engines are not covered.

use crate::harness::configuration::operator_file;
use crate::harness::engines::Engines;
use crate::harness::gateway::GatewayProcess;
use crate::harness::{Failure, RunOptions};
use crate::report::ExperimentResult;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use starlingplank_test_doubles::capacity_model::EngineSpec;
use starlingplank_test_doubles::closed_loop::{ClientProtocol, ClosedLoopClient};
use starlingplank_test_doubles::engine::EngineProtocol;
use starlingplank_test_doubles::thrift::Answer;
use std::net::SocketAddr;
use std::time::Instant;

/// Work of a query on fast and on slow engines, in milliseconds on one core.
const FAST_WORK: f64 = 0.1;
const SLOW_WORK: f64 = 300.0;
/// Divisor of the number of queries on slow engines, and maximum number of clients. On slow engines each client sends the same number of
/// queries in all cases, as one client that sends all of them would take hours.
const SLOW_QUERIES_DIVISOR: usize = 200;
const MAX_CLIENTS: usize = 16;
/// Maximum latency of the histogram, in nanoseconds, and its number of significant digits.
const MAX_LATENCY_NS: u64 = 120_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 4;
/// Blocks of an operator's file for engines and a frontend that speak ClickHouse HTTP.
const CLICKHOUSE_BLOCKS: &str = "engines_speak = \"clickhouse\"\nclickhouse {\n  listen = \"127.0.0.1:0\"\n  rule {\n    class = \"lookup\"\n  }\n}\n";

/// Speed of the engines: fast ones answer at once, slow ones after the work of the query.
#[derive(Debug, Clone, Copy, PartialEq)]
enum EngineSpeed {
    Fast,
    Slow,
}

/// Settings of one case: two closed loops of the same clients, directly to the engines and through a gateway.
struct Case {
    protocol: EngineProtocol,
    engines: usize,
    speed: EngineSpeed,
    clients: usize,
    /// Total number of queries of all clients.
    queries: usize,
}

impl Case {
    fn work(&self) -> f64 {
        match self.speed {
            EngineSpeed::Fast => FAST_WORK,
            EngineSpeed::Slow => SLOW_WORK,
        }
    }
}

fn cases(queries: usize) -> Vec<Case> {
    let mut cases = Vec::new();
    for protocol in [EngineProtocol::Resp, EngineProtocol::ClickHouse] {
        for engines in [2, 8] {
            for speed in [EngineSpeed::Fast, EngineSpeed::Slow] {
                for clients in [1, 4, MAX_CLIENTS] {
                    let queries = match speed {
                        EngineSpeed::Fast => queries,
                        EngineSpeed::Slow => {
                            (queries / SLOW_QUERIES_DIVISOR / MAX_CLIENTS * clients).max(clients)
                        }
                    };
                    cases.push(Case { protocol, engines, speed, clients, queries });
                }
            }
        }
    }
    cases
}

/// Latencies and failures of the queries of closed loops.
struct LoopResult {
    /// Latencies of the queries, in nanoseconds.
    latencies: Histogram<u64>,
    refused: u64,
    failed: u64,
}

impl LoopResult {
    fn new() -> Result<Self, Failure> {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS)?;
        Ok(Self { latencies, refused: 0, failed: 0 })
    }

    fn add(&mut self, other: &Self) -> Result<(), Failure> {
        self.latencies.add(&other.latencies)?;
        self.refused += other.refused;
        self.failed += other.failed;
        Ok(())
    }

    fn latency_us(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Runs the clients of a case, each on one connection. The connections are spread over the given addresses.
async fn closed_loops(
    addresses: &[SocketAddr],
    protocol: ClientProtocol,
    case: &Case,
) -> Result<LoopResult, Failure> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..case.clients {
        let address = addresses[number % addresses.len()];
        let (queries, work) = (case.queries / case.clients, case.work());
        let result = LoopResult::new()?;
        tasks.spawn_local(async move { closed_loop(address, protocol, number, queries, work, result).await });
    }
    let mut all = LoopResult::new()?;
    while let Some(one) = tasks.join_next().await {
        all.add(&one??)?;
    }
    Ok(all)
}

async fn closed_loop(
    address: SocketAddr,
    protocol: ClientProtocol,
    number: usize,
    queries: usize,
    work: f64,
    mut result: LoopResult,
) -> std::io::Result<LoopResult> {
    let mut client = ClosedLoopClient::connect(address, protocol).await?;
    for query in 0..queries {
        let sent_at = Instant::now();
        let answer = client.query(&format!("{:016x}", (number << 32) + query), work).await?;
        let _ = result.latencies.record(sent_at.elapsed().as_nanos() as u64);
        result.refused += u64::from(matches!(answer, Answer::Rejected(_)));
        result.failed += u64::from(matches!(answer, Answer::Failed | Answer::Lost));
    }
    Ok(result)
}

/// Metrics of a case.
struct CaseResult {
    refused: u64,
    failed: u64,
    added_p50_us: f64,
    added_p99_us: f64,
    row: Value,
}

async fn run_case(options: &RunOptions, case: &Case) -> Result<CaseResult, Failure> {
    let is_resp = case.protocol == EngineProtocol::Resp;
    let spec = EngineSpec {
        answers_immediately: case.speed == EngineSpeed::Fast,
        reports_load: is_resp,
        ..EngineSpec::default()
    };
    let engines = Engines::start_with_protocol(case.protocol, vec![spec; case.engines], options.seed)?;
    let mut file = operator_file(&engines, options.seed, None);
    if !is_resp {
        file = file.replace("reports = \"answers\"", "reports = \"none\"");
        file.push_str(CLICKHOUSE_BLOCKS);
    }
    let mut gateway = GatewayProcess::start(options, "idle", &file).await?;
    let (gateway_address, gateway_protocol, direct_protocol) = match case.protocol {
        EngineProtocol::Resp => (gateway.address, ClientProtocol::Thrift, ClientProtocol::Resp),
        EngineProtocol::ClickHouse => {
            (gateway.clickhouse_address().await?, ClientProtocol::Http, ClientProtocol::Http)
        }
    };
    let addresses: Vec<_> = engines.all.iter().map(|engine| engine.address).collect();
    let direct = closed_loops(&addresses, direct_protocol, case).await?;
    let cpu_before = gateway.cpu_ms()?;
    let through_gateway = closed_loops(&[gateway_address], gateway_protocol, case).await?;
    let cpu_ms = gateway.cpu_ms()? - cpu_before;
    gateway.terminate().await?;
    let added = |quantile: f64| through_gateway.latency_us(quantile) - direct.latency_us(quantile);
    let row = json!({
        "front": if is_resp { "thrift" } else { "clickhouse" },
        "engines": case.engines,
        "speed": if case.speed == EngineSpeed::Fast { "fast" } else { "slow" },
        "clients": case.clients,
        "queries": case.queries,
        "refused": through_gateway.refused,
        "failed": through_gateway.failed,
        "direct_p50_us": direct.latency_us(0.5),
        "direct_p99_us": direct.latency_us(0.99),
        "added_p50_us": added(0.5),
        "added_p99_us": added(0.99),
        "cpu_us_per_query": cpu_ms * 1000.0 / case.queries as f64,
        "why": gateway.text_after(": rejected for "),
    });
    Ok(CaseResult {
        refused: through_gateway.refused,
        failed: through_gateway.failed,
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
        row,
    })
}

/// Runs all cases sequentially and combines their metrics.
pub(super) async fn run(options: &RunOptions) -> Result<ExperimentResult, Failure> {
    let mut results = Vec::new();
    for case in cases(options.queries) {
        results.push(run_case(options, &case).await?);
    }
    let json = json!({
        "refused": results.iter().map(|result| result.refused).sum::<u64>(),
        "failed": results.iter().map(|result| result.failed).sum::<u64>(),
        "added_p50_us": results.iter().map(|result| result.added_p50_us).fold(0.0, f64::max),
        "added_p99_us": results.iter().map(|result| result.added_p99_us).fold(0.0, f64::max),
        "rows": results.into_iter().map(|result| result.row).collect::<Vec<_>>(),
    });
    Ok(ExperimentResult { json, chart: None })
}
