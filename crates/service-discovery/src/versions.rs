//! The newest version of the list, and who said it.
//!
//! Versions rise, also from one address of the service to the next. What a former address still says is used until the
//! present one has spoken: it may be the only word for seconds. From then on the present address alone counts, and what a
//! former one said since the change gives way to it, whatever its version.

use crate::answers::AnswerKind;

/// Versions that were heard.
#[derive(Debug, Clone)]
pub struct Versions {
    /// The newest that was known before the last change of address, or that the present address has said.
    settled: u64,
    /// The newest that a former address has said since the change.
    provisional: Option<u64>,
    /// The present address has spoken.
    present_has_spoken: bool,
}

impl Versions {
    /// A process that begins with this version.
    pub fn new(known: u64) -> Self {
        Self { settled: known, provisional: None, present_has_spoken: false }
    }

    /// The version in use.
    pub fn newest(&self) -> u64 {
        self.provisional.unwrap_or(self.settled)
    }

    /// The service is at another address.
    pub fn relocate(&mut self) {
        self.settled = self.newest();
        self.provisional = None;
        self.present_has_spoken = false;
    }

    /// The present address says this version.
    pub fn hear_present(&mut self, version: u64) -> AnswerKind {
        let kind = AnswerKind::of_version(version, self.settled);
        if kind == AnswerKind::Older {
            return kind;
        }
        self.present_has_spoken = true;
        self.settled = version;
        let differs = |provisional: u64| provisional != version;
        match self.provisional.take() {
            Some(provisional) if differs(provisional) => AnswerKind::News,
            Some(_) => AnswerKind::Confirmation,
            None => kind,
        }
    }

    /// A former address says this version.
    pub fn hear_former(&mut self, version: u64) -> AnswerKind {
        if self.present_has_spoken {
            return AnswerKind::FormerAddress;
        }
        let kind = AnswerKind::of_version(version, self.newest());
        if kind == AnswerKind::News {
            self.provisional = Some(version);
        }
        kind
    }
}

#[cfg(test)]
mod tests;
