//! Proof that a call has not run.

/// State of one attempt at its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    Sent,
    /// The link broke or the deadline passed, and the owner was sent a cancel.
    CancelSent,
    /// The owner declined it, or confirmed that it never starts.
    NeverStarted,
    /// The upstream rejected it, so it never starts either.
    Rejected,
    /// It may have run, and no answer will arrive.
    Lost,
}

impl AttemptState {
    /// Returns whether the end of the attempt is not known yet.
    pub(super) const fn is_open(self) -> bool {
        matches!(self, Self::Sent | Self::CancelSent)
    }
}

/// Proof that a call has not run and never will.
///
/// Callers repeat work that may run only once after such a report, so missing state is no proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NeverRuns(());

impl NeverRuns {
    /// Returns the proof for a call of which no attempt was ever sent.
    pub const fn unsent() -> Self {
        Self(())
    }

    /// Returns the proof for a call with these attempts; none if one of them may run or may have run.
    pub(super) fn of_attempts(mut attempts: impl Iterator<Item = AttemptState>) -> Option<Self> {
        let never_starts = |state| matches!(state, AttemptState::NeverStarted | AttemptState::Rejected);
        attempts.all(never_starts).then_some(Self(()))
    }
}
