//! Share of a service's calls that goes to a new version, and the number of its upstreams that get it.

/// Largest share of the calls that a new version gets before it is found sound: half of the tenth that operators allow,
/// because calls that only fail under full load count towards the tenth as well.
const SHARE_MAX_PERMILLE: u32 = 50;
/// Thousandths in a whole.
const PERMILLE: u32 = 1_000;
/// Most upstreams of the new version that get the share. More than one, because a single upstream may be slow or fail
/// for a reason of its machine.
const TRIAL_MAX: usize = 2;

/// Returns the number of upstreams of the new version that get its share, beside `old` upstreams of the old one. The
/// share loads them as usual, because some versions fail only under load.
pub fn trial_size(old: usize) -> usize {
    (old * SHARE_MAX_PERMILLE as usize).div_ceil(PERMILLE as usize).clamp(1, TRIAL_MAX)
}

/// Selects the calls that go to a new version, evenly spread.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrialShare {
    permille: u32,
    credit_permille: u32,
}

impl TrialShare {
    /// Sets the share for `trial` upstreams of the new version beside `old` upstreams of the old one. `start_permille`
    /// staggers the entries, so that they do not all begin with the new version.
    pub fn configure(&mut self, trial: usize, old: usize, start_permille: u32) {
        let fair = trial * PERMILLE as usize / (trial + old).max(1);
        let permille = (fair as u32).min(SHARE_MAX_PERMILLE);
        if permille > 0 && self.permille == 0 {
            self.credit_permille = start_permille % PERMILLE;
        }
        self.permille = permille;
    }

    /// Returns whether the next call goes to the new version.
    pub fn next_goes_to_trial(&mut self) -> bool {
        self.credit_permille += self.permille;
        let is_trial = self.credit_permille >= PERMILLE;
        if is_trial {
            self.credit_permille -= PERMILLE;
        }
        is_trial
    }
}
