//! Rules of the pick.

/// Which rule picks a server; all but [`Policy::Valetrack`] are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Least expected time by carried load and own calls.
    Valetrack,
    /// Any server, evenly.
    Random,
    /// One after the other.
    RoundRobin,
    /// Least calls of this entry in flight.
    LeastInFlight,
    /// The better of two by the last report alone, however old.
    TwoChoices,
}

impl std::str::FromStr for Policy {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, ()> {
        match name {
            "valetrack" => Ok(Self::Valetrack),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-in-flight" => Ok(Self::LeastInFlight),
            "two-choices" => Ok(Self::TwoChoices),
            _ => Err(()),
        }
    }
}
