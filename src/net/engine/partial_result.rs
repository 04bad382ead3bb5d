//! A result while its pages arrive.

use crate::core::{AttemptEnd, ResultRows};
use crate::interface::Outcome;
use crate::limits::Limits;
use crate::net::engine::resp::Reply;
use tokio::time::Instant;

/// Separators between the three columns of a row.
const SEPARATORS_PER_ROW: usize = 2;

/// The pages of a result that have arrived, and its measures.
#[derive(Debug)]
pub(super) struct PartialResult {
    pages: Vec<Option<Vec<u8>>>,
    bytes: usize,
    end: AttemptEnd,
    last_page_at: Instant,
}

/// What a page does to a result.
pub(super) enum PageEffect {
    /// The page has been received before.
    Duplicate,
    /// Further pages are awaited.
    Incomplete,
    /// It is the last page that was awaited.
    Complete,
    /// The result has no such page, or the page is malformed or too long.
    Invalid,
}

impl PartialResult {
    /// A result whose first reply has arrived. None: the reply does not contain the number of pages, or it is larger than
    /// an engine sends.
    pub(super) fn begin(reply: &Reply<'_>, limits: &Limits) -> Option<Self> {
        let count = positive_integer(reply, "pages", limits.event_queue_capacity)?;
        let end = AttemptEnd {
            work: reply.number("cost"),
            report: reply.load_report(),
            ..AttemptEnd::from_outcome(Outcome::Ok)
        };
        let pages = (0..count).map(|_| None).collect();
        Some(Self { pages, bytes: 0, end, last_page_at: Instant::now() })
    }

    /// The number of its pages.
    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// When the last page arrived.
    pub(super) fn last_page_at(&self) -> Instant {
        self.last_page_at
    }

    /// Adds a page.
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
        self.pages[number] = Some(body.to_vec());
        if self.pages.iter().any(Option::is_none) {
            return PageEffect::Incomplete;
        }
        PageEffect::Complete
    }

    /// The end of the attempt, once the result is complete.
    pub(super) fn into_end(self) -> AttemptEnd {
        let rows = ResultRows { parts: self.pages.into_iter().flatten().collect(), headers: Vec::new() };
        AttemptEnd { rows, ..self.end }
    }
}

/// The value of a field that is an integer from 1 to `max`.
pub(super) fn positive_integer(reply: &Reply<'_>, field: &str, max: usize) -> Option<usize> {
    let value = reply.number(field)?;
    let is_valid = value.fract() == 0.0 && (1.0..=max as f64).contains(&value);
    is_valid.then_some(value as usize)
}

/// Whether a page of a result consists of complete rows of three columns of text.
fn has_complete_rows(page: &[u8]) -> bool {
    let ends_with_row = page.is_empty() || page.ends_with(b"\n");
    let has_three_columns =
        |row: &str| row.bytes().filter(|byte| *byte == b'\t').count() == SEPARATORS_PER_ROW;
    ends_with_row && std::str::from_utf8(page).is_ok_and(|text| text.lines().all(has_three_columns))
}
