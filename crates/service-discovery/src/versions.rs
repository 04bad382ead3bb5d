//! The newest version of the list, and which address of the service sent it.
//!
//! Versions rise, also from one address of the service to the next. Lists from a previous address are used until the present
//! one has responded, as there may be no other source for seconds. From then on the present address alone counts, and its
//! list replaces those that a previous one has sent since the change, whatever their version.

use crate::responses::ResponseKind;

/// The versions that were received.
#[derive(Debug, Clone)]
pub struct Versions {
    /// The newest that was known before the last change of address, or that the present address has sent.
    settled: u64,
    /// The newest that a previous address has sent since the change.
    provisional: Option<u64>,
    /// Whether the present address has responded.
    present_has_responded: bool,
}

impl Versions {
    /// A process that begins with this version.
    pub fn new(known: u64) -> Self {
        Self { settled: known, provisional: None, present_has_responded: false }
    }

    /// The version in use.
    pub fn newest(&self) -> u64 {
        self.provisional.unwrap_or(self.settled)
    }

    /// Notes that the service is at another address.
    pub fn relocate(&mut self) {
        self.settled = self.newest();
        self.provisional = None;
        self.present_has_responded = false;
    }

    /// Takes a list of this version from the present address.
    pub fn receive_from_present(&mut self, version: u64) -> ResponseKind {
        let kind = ResponseKind::of_version(version, self.settled);
        if kind == ResponseKind::Older {
            return kind;
        }
        self.present_has_responded = true;
        self.settled = version;
        match self.provisional.take() {
            Some(provisional) if provisional != version => ResponseKind::Update,
            Some(_) => ResponseKind::Confirmation,
            None => kind,
        }
    }

    /// Takes a list of this version from a previous address.
    pub fn receive_from_previous(&mut self, version: u64) -> ResponseKind {
        if self.present_has_responded {
            return ResponseKind::PreviousAddress;
        }
        let kind = ResponseKind::of_version(version, self.newest());
        if kind == ResponseKind::Update {
            self.provisional = Some(version);
        }
        kind
    }
}

#[cfg(test)]
mod tests;
