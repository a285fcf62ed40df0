//! The border to the entry beside the gate, which the upstream's own calls go through.

use std::rc::Rc;

/// Keeps account of what the upstream runs, since the calls that a repeated run makes count as
/// repeats at the services that they go to.
pub trait RunLedger {
    /// Returns whether one more repeated run may start: whether the services that it would call have
    /// repeats left.
    fn admits_repeat(&self) -> bool;

    /// Takes the start of a run that is a repeat by this chance, in thousandths.
    fn run_began(&self, repeat_permille: u16);

    /// Takes the end of a run with the chance that it began with.
    fn run_ended(&self, repeat_permille: u16);
}

/// A run in progress; it has ended when this is dropped.
pub(super) struct LedgerEntry {
    ledger: Rc<dyn RunLedger>,
    repeat_permille: u16,
}

impl LedgerEntry {
    /// Enters the start of a run.
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
