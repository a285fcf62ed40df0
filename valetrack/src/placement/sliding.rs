//! Sums over a sliding window, in constant memory.

/// Segments of a window, each of which has its own sum.
const SEGMENTS: u64 = 20;
/// Slots for the segments of a window and the segment that has just left it.
const SLOTS: usize = SEGMENTS as usize + 1;

/// Sum of the amounts added within a sliding window.
#[derive(Debug, Clone, Copy)]
pub struct SlidingSum {
    segment_us: u64,
    /// Number of the newest segment, counted from the start of the clock.
    newest: u64,
    segments: [f32; SLOTS],
}

impl SlidingSum {
    /// Creates an empty sum over windows of `window_us`.
    pub fn new(window_us: u64) -> Self {
        Self { segment_us: (window_us / SEGMENTS).max(1), newest: 0, segments: [0.0; SLOTS] }
    }

    /// Adds `amount` at `now_us`. If the clock goes back, the amount is added to the newest segment.
    pub fn add(&mut self, amount: f32, now_us: u64) {
        self.advance(now_us);
        self.segments[slot(self.newest)] += amount;
    }

    /// Returns a lower bound of the sum over the window that ends at `now_us`.
    pub fn lower_bound(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        let expired = slot(self.newest + 1);
        self.upper_bound(now_us) - f64::from(self.segments[expired])
    }

    /// Returns an upper bound of the sum over the window that ends at `now_us`.
    pub fn upper_bound(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        self.segments.iter().copied().map(f64::from).sum()
    }

    fn advance(&mut self, now_us: u64) {
        let number = now_us / self.segment_us;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for ago in 0..passed {
            self.segments[slot(number - ago)] = 0.0;
        }
        self.newest = self.newest.max(number);
    }
}

/// Returns the slot of a segment. The next segment reuses the slot of the oldest one.
const fn slot(number: u64) -> usize {
    (number % SLOTS as u64) as usize
}
