//! A result of which not all pages have arrived.

use crate::core::{AttemptEnd, CountedMemory, ResultRows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::connection::ResultMemory;
use crate::net::engine::resp::Reply;
use tokio::time::Instant;

/// Number of separators between the three columns of a row.
const SEPARATORS_PER_ROW: usize = 2;

/// Pages of a result that have arrived, and the work and load report that the first reply contained.
#[derive(Debug)]
pub(super) struct PartialResult {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
    memory: ResultMemory,
    end: AttemptEnd,
    last_page_at: Instant,
}

/// Effect of a page on its result.
pub(super) enum PageEffect {
    /// The page was received before.
    Duplicate,
    /// Other pages are still missing.
    Incomplete,
    /// All pages have arrived.
    Complete,
    /// The result has no page with this number, or the page is malformed or too long.
    Invalid,
}

impl PartialResult {
    /// Creates a result from its first reply. Returns `None` if the number of pages is missing, or not an integer from 1 to
    /// `event_queue_capacity`.
    pub(super) fn begin(reply: &Reply<'_>, limits: &Limits, memory: ResultMemory) -> Option<Self> {
        let count = positive_integer(reply, "pages", limits.event_queue_capacity)?;
        let end = AttemptEnd {
            work: reply.number("cost"),
            report: reply.load_report(),
            ..AttemptEnd::from_outcome(Outcome::Ok)
        };
        let pages = (0..count).map(|_| None).collect();
        Some(Self { pages, bytes: 0, memory, end, last_page_at: Instant::now() })
    }

    /// Returns the total number of pages.
    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the time at which the most recent page arrived.
    pub(super) fn last_page_at(&self) -> Instant {
        self.last_page_at
    }

    /// Adds the page with this number.
    pub(super) fn add(&mut self, number: usize, body: &[u8], limits: &Limits) -> PageEffect {
        match self.pages.get(number) {
            None => return PageEffect::Invalid,
            Some(Some(_)) => return PageEffect::Duplicate,
            Some(None) => {}
        }
        if !has_complete_rows(body) || self.bytes + body.len() > limits.max_result_bytes {
            return PageEffect::Invalid;
        }
        self.last_page_at = Instant::now();
        self.bytes += body.len();
        self.memory.add(body.len());
        self.pages[number] = Some(body.to_vec());
        if self.pages.iter().any(Option::is_none) {
            return PageEffect::Incomplete;
        }
        PageEffect::Complete
    }

    /// Converts a complete result to the end of its attempt.
    pub(super) fn into_end(self) -> AttemptEnd {
        let parts = self.pages.into_iter().flatten().collect();
        let rows = ResultRows { parts, headers: Vec::new(), memory: CountedMemory::new(self.memory) };
        AttemptEnd { rows, ..self.end }
    }
}

/// Returns the value of a field if it is an integer from 1 to `max`.
pub(super) fn positive_integer(reply: &Reply<'_>, field: &str, max: usize) -> Option<usize> {
    let value = reply.number(field)?;
    let is_valid = value.fract() == 0.0 && (1.0..=max as f64).contains(&value);
    is_valid.then_some(value as usize)
}

/// Returns whether a page consists of complete rows of three text columns.
fn has_complete_rows(page: &[u8]) -> bool {
    let ends_with_row = page.is_empty() || page.ends_with(b"\n");
    let has_three_columns =
        |row: &str| row.bytes().filter(|byte| *byte == b'\t').count() == SEPARATORS_PER_ROW;
    ends_with_row && std::str::from_utf8(page).is_ok_and(|text| text.lines().all(has_three_columns))
}
