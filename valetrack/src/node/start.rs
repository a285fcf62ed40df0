//! Starts the threads of a node with the state that each of them uses.

use std::net::TcpListener as TcpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use super::leave::drain_time;
use super::part::NodeParts;
use super::thread::spawn;
use crate::admin::run::AdminParts;
use crate::bundle::Adopter;
use crate::bundle::run::BundleFollower;
use crate::caller::keyed::KeyedRouter;
use crate::caller::run::ListenerParts;
use crate::claim::Home;
use crate::claim::run::ClaimParts;
use crate::clock::steady_us;
use crate::code::Code;
use crate::crash::Quarantine;
use crate::crash::archive::{CrashArchive, LeasedArchive, StoreArchive};
use crate::crash::run::CrashParts;
use crate::gate::{Announcement, CrashWatch, DepartureAcknowledger, Departures, UpstreamPhase, UpstreamState};
use crate::link::path::PathTimes;
use crate::link::run::LinkParts;
use crate::link::tls::LinkTls;
use crate::member::leased::LeasedParts;
use crate::member::list::VmList;
use crate::member::run::MemberParts;
use crate::member::{Member, Phase};
use crate::memory::connections_max;
use crate::metric::Metrics;
use crate::placement::run::{Placer, PlacerParts};
use crate::platform::{Announcements, Membership};
use crate::quota::run::{QuotaParts, Quotas};
use crate::rollout::RolloutFormat;
use crate::store::{LeaseStore, Store};

/// Time between the report to other nodes that this one accepts no more work and the end of its own callers. Entries
/// collect changes for 0.8 s before they read them.
const DRAIN_LEAD_MS: u64 = 1_000;

impl NodeParts {
    /// Starts the member thread and, for nodes with a VM list, the claim thread.
    pub(super) fn start_membership(&self) -> std::io::Result<Vec<JoinHandle<()>>> {
        match &self.membership {
            Membership::Listed { list, store, claim_store } => {
                Ok(vec![self.start_claim(claim_store.clone())?, self.start_listed(list.clone(), store.clone())?])
            }
            Membership::Leased { store, bundle_key, evacuation_prefix, rollouts } => {
                // Without a VM list there is no roster of homes, so this platform has no claims and no keyed calls.
                self.stages.released.send_replace(true);
                let (bundle_key, prefix) = (bundle_key.clone(), evacuation_prefix.clone());
                Ok(vec![self.start_leased(store.clone(), bundle_key, prefix, rollouts.clone())?])
            }
        }
    }

    fn me(&self) -> Member {
        let settings = &self.settings;
        Member {
            vm: settings.vm.clone(),
            incarnation: self.incarnation,
            phase: Phase::Joining,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            link_addr: settings.advertise_addr,
            version: None,
            is_relay: false,
            departure: None,
        }
    }

    /// Returns the time for which the upstream still receives new work after the signal to stop. It ends early enough
    /// that other nodes use other owners by the time the last callers have left.
    fn drain_after(&self) -> Duration {
        Duration::from_millis(self.settings.linger_ms.saturating_sub(DRAIN_LEAD_MS))
    }

    fn adopter(&self) -> Adopter {
        Adopter::new(
            self.format.clone(),
            self.bundle.clone(),
            self.confirmation.clone(),
            self.texts.clone(),
            self.metrics.clone(),
        )
    }

    fn start_leased(
        &self,
        store: Arc<dyn LeaseStore>,
        bundle_key: Arc<str>,
        evacuation_prefix: Arc<str>,
        rollouts: Arc<dyn RolloutFormat>,
    ) -> std::io::Result<JoinHandle<()>> {
        let parts = LeasedParts {
            me: self.me(),
            regions: self.settings.regions.clone(),
            store,
            format: self.format.clone(),
            bundle_key,
            evacuation_prefix,
            rollouts,
            lease_ms: self.settings.lease_ms,
            news_within_ms: self.settings.news_within_ms,
            jobs: self.member.from.clone(),
            to_link: self.link.to.clone(),
            to_crash: self.crash.to.clone(),
            members: self.members.clone(),
            upstream: self.upstream.subscribe(),
            departure_record: self.departure_record.clone(),
            serving: self.stages.serving.subscribe(),
            leaving: self.stages.leaving.subscribe(),
            drain_after: self.drain_after(),
            exiting: self.stages.exiting.subscribe(),
            departed: self.stages.departed.clone(),
            closing: self.stages.closing.subscribe(),
            metrics: self.metrics.clone(),
            seed: self.seed,
        };
        let adopter = self.adopter();
        spawn("member", move || crate::member::leased::run(parts, adopter))
    }

    /// Starts the thread that receives the upstream's announcements and updates the upstream's state.
    pub(super) fn start_announcements(
        &self,
        announcements: Box<dyn Announcements>,
        listener: TcpSocket,
    ) -> std::io::Result<JoinHandle<()>> {
        let ring = self.announcement.from.clone();
        let to = self.announcement.to.clone();
        let upstream = self.upstream.clone();
        let acknowledger = DepartureAcknowledger::new(self.departure_record.subscribe());
        let metrics = self.metrics.clone();
        let mut closing = self.stages.closing.subscribe();
        spawn("announcement", move || async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            let apply_metrics = metrics.clone();
            let apply = async {
                let mut watch = CrashWatch::default();
                while let Ok(announcement) = ring.recv().await {
                    apply_announcement(&upstream, &announcement, &mut watch, &apply_metrics);
                }
            };
            tokio::select! {
                () = announcements.listen(listener, to, acknowledger, metrics) => {}
                () = apply => {}
                _ = closing.wait_for(|closing| *closing) => {}
            }
        })
    }

    fn start_claim(&self, store: Arc<dyn Store>) -> std::io::Result<JoinHandle<()>> {
        let settings = &self.settings;
        let parts = ClaimParts {
            me: Home { vm: settings.vm.clone(), incarnation: self.incarnation },
            service: settings.service.clone(),
            jobs: self.claim.from.clone(),
            to_place: self.place.to.clone(),
            store,
            writes_per_s: settings.store_writes_per_s,
            reads_per_s: settings.store_reads_per_s,
            store_timeout_ms: settings.store_timeout_ms,
            silent_us: settings.silent_ms * 1000,
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            claim_state: self.claims.clone(),
            leaving: self.stages.leaving.subscribe(),
            released: self.stages.released.clone(),
            closing: self.stages.closing.subscribe(),
            metrics: self.metrics.clone(),
        };
        spawn("claim", move || crate::claim::run::run(parts))
    }

    fn start_listed(&self, list: Arc<dyn VmList>, store: Arc<dyn Store>) -> std::io::Result<JoinHandle<()>> {
        let settings = &self.settings;
        let me = self.me();
        let bundler = BundleFollower::new(
            settings.vm.clone(),
            settings.domain.clone(),
            store,
            self.members.subscribe(),
            self.adopter(),
            self.metrics.clone(),
        );
        let parts = MemberParts {
            me,
            list_poll: Duration::from_millis(settings.list_poll_ms),
            gossip: Duration::from_millis(settings.gossip_ms),
            list,
            jobs: self.member.from.clone(),
            to_link: self.link.to.clone(),
            members: self.members.clone(),
            claims: self.claims.subscribe(),
            serving: self.stages.serving.subscribe(),
            leaving: self.stages.leaving.subscribe(),
            exiting: self.stages.exiting.subscribe(),
            departed: self.stages.departed.clone(),
            closing: self.stages.closing.subscribe(),
            listed_leaving: self.listed_leaving.clone(),
            seed: self.seed,
        };
        spawn("member", move || crate::member::run::run(parts, bundler))
    }

    /// Starts the thread that runs both the caller listener and the links. A call then needs no thread wake-up between
    /// the two, which would be most of the cost of a call on a small VM.
    pub(super) fn start_path(&self, callers: TcpSocket, tls: LinkTls) -> std::io::Result<JoinHandle<()>> {
        let (vm, link_addr) = (self.settings.vm.clone(), self.settings.link_addr);
        let (links, placer, callers_parts) = (self.link_parts(), self.placer_parts(), self.listener_parts());
        let (history, to_crash, metrics) =
            (self.crash_history.subscribe(), self.crash.to.clone(), self.metrics.clone());
        let members = self.members.subscribe();
        let quotas = self.quota_parts();
        spawn("path", move || async move {
            let endpoint = match crate::link::run::bind(link_addr, &vm, tls) {
                Ok(endpoint) => endpoint,
                Err(error) => {
                    log::error!("event=link.bind_failed code={} reason=\"{error}\"", Code::AddressBusy);
                    return;
                }
            };
            let Ok(socket) = TcpListener::from_std(callers) else {
                return;
            };
            let crashes = Quarantine::new(history, to_crash, metrics);
            let departures = Rc::new(Departures::default());
            let paths = Rc::new(PathTimes::default());
            let placer = Placer::new(placer, crashes.clone(), departures.clone(), paths.clone());
            let keyed = KeyedRouter::new(placer.clone(), members);
            let quotas = Quotas::new(quotas);
            let links =
                crate::link::run::run(endpoint, placer.clone(), crashes, quotas.clone(), departures, paths, links);
            futures::join!(links, crate::caller::run::run(socket, placer, keyed, quotas, callers_parts));
        })
    }

    fn listener_parts(&self) -> ListenerParts {
        let settings = &self.settings;
        let confirmation_age_max = match &self.membership {
            // Watches of the store and gossip do not confirm the bundle at regular intervals.
            Membership::Listed { .. } => None,
            Membership::Leased { .. } => Some(Duration::from_millis(settings.news_within_ms)),
        };
        ListenerParts {
            jobs: self.place.from.clone(),
            protocol: self.caller_protocol.clone(),
            confirmation: self.confirmation.subscribe(),
            confirmation_age_max,
            service: settings.service.clone(),
            head_limit: Duration::from_millis(settings.caller_rest_ms),
            linger: Duration::from_millis(settings.linger_ms),
            drain: drain_time(settings),
            seed: self.seed,
            memory: self.memory.clone(),
            connections_max: connections_max(self.limits.descriptors),
            body_limit: Duration::from_millis(settings.call_body_ms),
            leaving: self.stages.leaving.subscribe(),
            closing: self.stages.closing.subscribe(),
            drained: self.stages.drained.subscribe(),
            emptied: self.stages.emptied.clone(),
        }
    }

    fn link_parts(&self) -> LinkParts {
        LinkParts {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            members: self.members.subscribe(),
            service: self.settings.service.clone(),
            server_addr: self.settings.server_addr,
            jobs: self.link.from.clone(),
            to_claim: self.claim.to.clone(),
            to_member: self.member.to.clone(),
            to_crash: self.crash.to.clone(),
            bundle: self.bundle.subscribe(),
            texts: self.texts.subscribe(),
            regions: self.settings.regions.clone(),
            upstream_protocol: self.upstream_protocol.clone(),
            upstream: self.upstream.subscribe(),
            to_upstream: self.announces.then(|| self.announcement.to.clone()),
            leaving: self.stages.leaving.subscribe(),
            drain_after: self.drain_after(),
            server_leaving: self.server_leaving.clone(),
            drained: self.stages.drained.clone(),
            closing: self.stages.closing.subscribe(),
            memory: self.memory.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn quota_parts(&self) -> QuotaParts {
        QuotaParts {
            vm: self.settings.vm.clone(),
            to_link: self.link.to.clone(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            metrics: self.metrics.clone(),
        }
    }

    fn placer_parts(&self) -> PlacerParts {
        PlacerParts {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            domain_cost_us: self.settings.domain_cost_us,
            regions: self.settings.regions.clone(),
            region_link_mbps: self.settings.region_link_mbps,
            policy: self.settings.policy,
            seed: self.seed,
            entry: self.incarnation ^ self.seed.rotate_left(32),
            to_link: self.link.to.clone(),
            to_member: self.member.to.clone(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            metrics: self.metrics.clone(),
        }
    }

    /// Starts the crash thread, which records calls that crash upstreams.
    pub(super) fn start_crash(&self) -> std::io::Result<JoinHandle<()>> {
        let (archive, store_is_followed): (Arc<dyn CrashArchive>, bool) = match &self.membership {
            Membership::Listed { store, .. } => (Arc::new(StoreArchive(store.clone())), false),
            Membership::Leased { store, .. } => (Arc::new(LeasedArchive(store.clone())), true),
        };
        let parts = CrashParts {
            vm: self.settings.vm.clone(),
            service: self.settings.service.clone(),
            jobs: self.crash.from.clone(),
            to_link: self.link.to.clone(),
            history: self.crash_history.clone(),
            archive,
            store_is_followed,
            members: self.members.subscribe(),
            bundle: self.bundle.subscribe(),
            closing: self.stages.closing.subscribe(),
            metrics: self.metrics.clone(),
            seed: self.seed,
        };
        spawn("crash", move || crate::crash::run::run(parts))
    }

    /// Starts the thread of the admin port.
    pub(super) fn start_admin(&self, operators: TcpSocket) -> std::io::Result<JoinHandle<()>> {
        let parts = AdminParts {
            ready_path: self.ready_path,
            vm: self.settings.vm.clone(),
            metrics: self.metrics.clone(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            serving: self.stages.serving.subscribe(),
            leaving: self.stages.leaving.subscribe(),
            closing: self.stages.closing.subscribe(),
        };
        spawn("admin", move || async move {
            if let Ok(listener) = TcpListener::from_std(operators) {
                crate::admin::run::run(listener, parts).await;
            }
        })
    }
}

fn apply_announcement(
    upstream: &watch::Sender<UpstreamState>,
    announcement: &Announcement,
    watch: &mut CrashWatch,
    metrics: &Metrics,
) {
    let (start, phase) = {
        let before = upstream.borrow();
        (before.start, before.phase)
    };
    // An upstream is suspended together with its VM, so its announced times are measured by the steady clock.
    let now = steady_us();
    let changed = upstream.send_if_modified(|state| state.take(announcement, now));
    let state = upstream.borrow();
    if changed {
        let slots = state.slots.unwrap_or(0);
        let cold_ms = state.cold_until_us.saturating_sub(now) / 1000;
        let UpstreamState { start, phase, .. } = *state;
        log::info!(
            "event=upstream.state id={} start={start} phase={phase:?} slots={slots} cold_ms={cold_ms} is_confirmed={} \
             by={} sequence={} ready={} outlasts_delays={}",
            announcement.id,
            state.is_confirmed(),
            announcement.source(),
            announcement.sequence.unwrap_or(0),
            announcement.ready,
            state.outlasts_delays(now)
        );
    } else if !announcement.ready && state.id.as_ref() != Some(&announcement.id) {
        log::info!("event=departure.of_earlier_start id={} by={}", announcement.id, announcement.source());
    }
    if state.start != start && phase == UpstreamPhase::Ready {
        metrics.upstream_crashes.inc();
        let crashes = watch.record_crash(now);
        if watch.is_recurrent(now) {
            log::warn!("event=upstream.recurrent_crash id={} crashes={crashes}", announcement.id);
        }
    }
    metrics.upstream_recurrent_crash.set(watch.is_recurrent(now).into());
}
