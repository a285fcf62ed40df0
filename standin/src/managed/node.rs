//! The command line of a real node that runs against the stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

/// Time limit of a node's calls to the store: many times the response time of the stand-in.
const STORE_TIMEOUT_MS: &str = "500";
/// Lifetime of a node's entry after the last renewal: short, so that it expires within a short run.
const LEASE_MS: &str = "1500";
/// The failure domains, assigned to the VMs in turn.
const DOMAINS: [&str; 2] = ["kranj", "loka"];

/// Identity of a node and the addresses around it.
#[derive(Debug, Clone)]
pub struct NodeCommand<'a> {
    /// Name of the node's VM.
    pub vm: &'a str,
    /// Number of the VM, which determines its failure domain.
    pub at: usize,
    /// Service of the node's upstream.
    pub service: &'a str,
    /// Address of the upstream.
    pub upstream_addr: SocketAddr,
    /// Address of the caller listener.
    pub caller_addr: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_addr: SocketAddr,
    /// Address at which the upstream announces itself.
    pub control_addr: SocketAddr,
    /// Address of the link listener.
    pub link_addr: SocketAddr,
    /// Address of the store.
    pub store_addr: SocketAddr,
}

impl NodeCommand<'_> {
    /// Builds the command that starts the node, with additional flags; its standard streams are null.
    pub fn command(&self, program: &Path, further: Vec<(&str, String)>) -> Command {
        let flags = [
            ("platform", "managed".to_owned()),
            ("vm", self.vm.to_owned()),
            ("domain", DOMAINS[self.at % DOMAINS.len()].to_owned()),
            ("service", self.service.to_owned()),
            ("server", self.upstream_addr.to_string()),
            ("caller-listen", self.caller_addr.to_string()),
            ("admin-listen", self.ready_addr.to_string()),
            ("control-listen", self.control_addr.to_string()),
            ("link-listen", self.link_addr.to_string()),
            ("store", self.store_addr.to_string()),
            ("store-timeout-ms", STORE_TIMEOUT_MS.to_owned()),
            ("lease-ms", LEASE_MS.to_owned()),
        ];
        let args = flags.into_iter().chain(further).flat_map(|(flag, value)| [format!("--{flag}"), value]);
        let mut command = Command::new(program);
        command.arg("node").args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command
    }
}
