//! Which share of a service's calls goes to a new version, and to how many of its upstreams.

/// Largest share of the calls that a new version gets before it is found sound, in thousandths: half of the tenth that
/// operators allow, since the calls that show it to be bad under full load count as well.
const SHARE_MAX_PERMILLE: u32 = 50;
/// Thousandths in one.
const PERMILLE: u32 = 1_000;
/// Most upstreams of the new version that get the share: one alone may be slow or fail for a reason of its machine.
const TRIAL_MAX: usize = 2;

/// Returns how many upstreams of the new version get its share, beside so many of the old one: as many as the share
/// loads as usual, since some versions are bad only under load.
pub fn trial_size(old: usize) -> usize {
    (old * SHARE_MAX_PERMILLE as usize).div_ceil(PERMILLE as usize).clamp(1, TRIAL_MAX)
}

/// Draws the calls that go to a new version, evenly spread.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrialShare {
    permille: u32,
    owed_permille: u32,
}

impl TrialShare {
    /// Sets the share for so many upstreams of the new version on trial beside so many of the old one. `start_permille`
    /// spreads entries, so that they do not all begin with the new version.
    pub fn configure(&mut self, trial: usize, old: usize, start_permille: u32) {
        let fair = trial * PERMILLE as usize / (trial + old).max(1);
        let permille = (fair as u32).min(SHARE_MAX_PERMILLE);
        if permille > 0 && self.permille == 0 {
            self.owed_permille = start_permille % PERMILLE;
        }
        self.permille = permille;
    }

    /// Returns whether the next call goes to the new version.
    pub fn takes_next(&mut self) -> bool {
        self.owed_permille += self.permille;
        let takes = self.owed_permille >= PERMILLE;
        if takes {
            self.owed_permille -= PERMILLE;
        }
        takes
    }
}
