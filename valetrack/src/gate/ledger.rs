//! The interface to the entry beside the gate, through which the upstream makes its own calls.

use std::rc::Rc;

/// Tracks the upstream's runs, since calls made by a repeated run count as repeats at the services that receive them.
pub trait RunLedger {
    /// Returns whether one more repeated run may start, which requires retry budget at the services that it would call.
    fn admits_repeat(&self) -> bool;

    /// Records the start of a run that is a repeat with this probability.
    fn run_began(&self, repeat_permille: u16);

    /// Records the end of a run, with the probability given at its start.
    fn run_ended(&self, repeat_permille: u16);
}

/// A run in progress, which ends when this value is dropped.
pub(super) struct LedgerEntry {
    ledger: Rc<dyn RunLedger>,
    repeat_permille: u16,
}

impl LedgerEntry {
    /// Records the start of a run.
    pub(super) fn new(ledger: Rc<dyn RunLedger>, repeat_permille: u16) -> Self {
        ledger.run_began(repeat_permille);
        Self { ledger, repeat_permille }
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        self.ledger.run_ended(self.repeat_permille);
    }
}
