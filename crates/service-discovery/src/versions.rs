//! The newest version of the list, and whether the current or a previous address of the service sent it.
//!
//! Versions increase, also when the address of the service changes. Lists from a previous address are used until the current
//! one has responded, as there may be no other source for seconds. From then on only the current address is used, and its list
//! replaces those that a previous one has sent since the change, whatever their version.

use crate::responses::ResponseKind;

/// The versions of the lists that were received.
#[derive(Debug, Clone)]
pub struct Versions {
    /// The newest version that was known before the last change of address, or that the current address has sent.
    authoritative: u64,
    /// The newest version that a previous address has sent since the change of address.
    provisional: Option<u64>,
    /// Whether the current address has responded.
    current_has_responded: bool,
}

impl Versions {
    /// Creates the state of a process that starts with a list of this version.
    pub fn new(known: u64) -> Self {
        Self { authoritative: known, provisional: None, current_has_responded: false }
    }

    /// Returns the version of the list in use.
    pub fn newest(&self) -> u64 {
        self.provisional.unwrap_or(self.authoritative)
    }

    /// Records that the address of the service has changed.
    pub fn relocate(&mut self) {
        self.authoritative = self.newest();
        self.provisional = None;
        self.current_has_responded = false;
    }

    /// Handles a list of this version from the current address, and returns the kind of the response.
    pub fn receive_from_current(&mut self, version: u64) -> ResponseKind {
        let kind = ResponseKind::of_version(version, self.authoritative);
        if kind == ResponseKind::Older {
            return kind;
        }
        self.current_has_responded = true;
        self.authoritative = version;
        match self.provisional.take() {
            Some(provisional) if provisional != version => ResponseKind::Update,
            Some(_) => ResponseKind::Confirmation,
            None => kind,
        }
    }

    /// Handles a list of this version from a previous address, and returns the kind of the response.
    pub fn receive_from_previous(&mut self, version: u64) -> ResponseKind {
        if self.current_has_responded {
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
