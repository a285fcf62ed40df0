//! Rules of server selection.

/// Rule by which a server is picked. All rules except [`Policy::Valetrack`] are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Least expected time, by reported load and the entry's own calls.
    Valetrack,
    /// A uniformly random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// Fewest calls of this entry in flight.
    LeastInFlight,
    /// The less loaded of two random servers by their last reports, regardless of the age of the reports.
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
