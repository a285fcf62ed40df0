//! Prometheus metrics of a node.

use prometheus::{
    CounterVec, Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Bucket bounds of the call histogram.
const CALL_BOUNDS_S: &[f64] =
    &[0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0, 2.0, 5.0];

/// All metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls from callers, by outcome.
    pub calls: IntCounterVec,
    /// Duration of calls, measured at their entry, in seconds.
    pub call_seconds: Histogram,
    /// Attempts, by result.
    pub attempts: IntCounterVec,
    /// Attempts sent, by service and cause.
    pub sends: IntCounterVec,
    /// Attempts sent to other regions, by region.
    pub region_calls: IntCounterVec,
    /// Bytes of calls, answers and probes between regions, by region and direction.
    pub region_bytes: IntCounterVec,
    /// Usual round trip to another region in seconds, by region.
    pub region_round_trip: GaugeVec,
    /// Used part of the link to another region, from 0 to 1, by region.
    pub region_link_load: GaugeVec,
    /// Retries that were not sent because the retry budget was used up, by service and cause.
    pub retries_refused: IntCounterVec,
    /// Calls that retried runs of this node's upstream have made, by service. A call that was made by a retried run
    /// only with some probability counts as that fraction.
    pub nested_repeats: CounterVec,
    /// Nested calls by how the call at their root was determined.
    pub nested_roots: IntCounterVec,
    /// Callers' calls declined at their owner for the nested calls that their runs would make.
    pub root_declined: IntCounter,
    /// Refused callers by service and by what was planned for their returns.
    pub planned_returns: IntCounterVec,
    /// Callers that have returned after a refusal, by service and result.
    pub caller_returns: IntCounterVec,
    /// Retries that this node may still send now, by service.
    pub repeats_left: GaugeVec,
    /// This node's share of the fleet's retry reserve, by service.
    pub repeat_reserve: GaugeVec,
    /// Declined attempts, by reason.
    pub declined_attempts: IntCounterVec,
    /// Calls that run on this VM's upstream.
    pub gate_in_flight: IntGauge,
    /// Calls that wait for a slot of this VM's upstream.
    pub gate_queued: IntGauge,
    /// Rate limit that the upstream requests, in calls per second; infinite if it requests none.
    pub upstream_rate_limit: Gauge,
    /// Calls sent to the upstream beyond the rate limit that it requests.
    pub upstream_calls_over_limit: IntCounter,
    /// Waiting attempts that were declined for a call of another client account.
    pub displaced_attempts: IntCounter,
    /// Starts of the upstream without a preceding announcement that it leaves.
    pub upstream_crashes: IntCounter,
    /// 1 if the upstream crashes repeatedly, otherwise 0.
    pub upstream_recurrent_crash: IntGauge,
    /// Suspensions of the VM.
    pub suspensions: IntCounter,
    /// Crashes of the upstream while it ran calls.
    pub crash_reports: IntCounter,
    /// Recorded suspects of crashes that are not cleared.
    pub crash_suspects: IntGauge,
    /// Calls that were refused because they crash upstreams, by service and by the refusing side (entry or owner).
    pub quarantined_calls: IntCounterVec,
    /// Answers that were dropped because they belong to no open attempt.
    pub stray_answers: IntCounter,
    /// Link frames that could not be parsed.
    pub bad_frames: IntCounter,
    /// Entries and announcements that could not be parsed, by code.
    pub invalid_input: IntCounterVec,
    /// Calls from callers that were refused as invalid.
    pub bad_calls: IntCounter,
    /// Connections of callers that have ended, by reason.
    pub connections_ended: IntCounterVec,
    /// Requests of callers that ended without their whole answer, by reason.
    pub unanswered_calls: IntCounterVec,
    /// Calls from callers that were rejected before they were placed, by code.
    pub rejected_calls: IntCounterVec,
    /// Calls that were started before the calls ahead of them on their connection were answered.
    pub calls_started_ahead: IntCounter,
    /// Calls that were refused because their client account exceeds its rate.
    pub over_rate: IntCounter,
    /// Credit requests that were sent to homes of client accounts.
    pub quota_requests: IntCounter,
    /// Calls for which no home of their client account answered.
    pub quota_unanswered: IntCounter,
    /// Replies to requests for promises of stand-ins, by direction and reply.
    pub quota_promises: IntCounterVec,
    /// Bytes that were transferred only for measurements.
    pub measure_bytes: IntCounter,
    /// Measurement budget in bytes per second.
    pub measure_budget: IntGauge,
    /// Probes sent.
    pub probes: IntCounter,
    /// Speed requests that were sent to the upstream's machine.
    pub speed_requests: IntCounter,
    /// Requests to the node that is followed instead of the store.
    pub relay_requests: IntCounter,
    /// Number of times that this node has become a relay since the relays were behind the store.
    pub relay_takeovers: IntCounter,
    /// Bytes of store updates sent to the nodes that follow this one.
    pub relay_update_bytes: IntCounter,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Calls to the store that failed, by code.
    pub store_failures: IntCounterVec,
    /// Store reads that were dropped because they returned an earlier state than the recorded one.
    pub store_outdated: IntCounter,
    /// Store rollbacks.
    pub store_rollbacks: IntCounter,
    /// Number of the bundle in force.
    pub bundle_number: IntGauge,
    /// Requests for the text of a bundle to other nodes, by result.
    pub bundle_fetches: IntCounterVec,
    /// Bytes of bundle texts sent to other nodes.
    pub bundle_text_bytes: IntCounter,
    /// Keyed calls, by reply.
    pub presses: IntCounterVec,
    /// Open links that this node has opened.
    pub links: IntGauge,
    /// Links that this node has opened, by the kind of the request that needed them.
    pub links_opened: IntCounterVec,
    /// Links that could not be opened, by the kind of the request that needed them.
    pub links_failed: IntCounterVec,
    /// Open links that other nodes have opened.
    pub accepted_links: IntGauge,
    /// Bytes held for callers, peers and the upstream, by kind.
    pub memory_held: IntGaugeVec,
    /// Limit of these bytes.
    pub memory_limit: IntGauge,
    /// Calls, answers and connections for which there was no memory, by kind.
    pub memory_refusals: IntCounterVec,
    /// Connections of callers that were closed to release memory or descriptors.
    pub memory_evictions: IntCounter,
    /// Dropped log lines.
    log_dropped: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this file.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid name");
            registry.register(Box::new(counter.clone())).expect("unique name");
            counter
        };
        let counters_by = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry.register(Box::new(counters.clone())).expect("unique name");
            counters
        };
        let gauges_by_label = |name: &str, help: &str, label: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &[label]).expect("valid name");
            registry.register(Box::new(gauges.clone())).expect("unique name");
            gauges
        };
        let gauges_by = |name: &str, help: &str| gauges_by_label(name, help, "service");
        let opts =
            Opts::new("valetrack_nested_repeats_total", "Calls that retried runs of this node's upstream have made.");
        let nested_repeats = CounterVec::new(opts, &["service"]).expect("valid name");
        registry.register(Box::new(nested_repeats.clone())).expect("unique name");
        let upstream_rate_limit =
            Gauge::new("valetrack_upstream_rate_limit", "Calls per second that the upstream accepts.")
                .expect("valid name");
        upstream_rate_limit.set(f64::INFINITY);
        registry.register(Box::new(upstream_rate_limit.clone())).expect("unique name");
        let counters = |name: &str, help: &str, label: &str| counters_by(name, help, &[label]);
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry.register(Box::new(gauge.clone())).expect("unique name");
            gauge
        };
        let memory_held = IntGaugeVec::new(
            Opts::new("valetrack_memory_held_bytes", "Bytes held for callers, peers and the upstream, by kind."),
            &["kind"],
        );
        let memory_held = memory_held.expect("valid name");
        registry.register(Box::new(memory_held.clone())).expect("unique name");
        let opts = HistogramOpts::new("valetrack_call_seconds", "Duration of calls, measured at their entry.");
        let call_seconds = Histogram::with_opts(opts.buckets(CALL_BOUNDS_S.to_vec())).expect("valid name");
        registry.register(Box::new(call_seconds.clone())).expect("unique name");
        Self {
            calls: counters("valetrack_calls_total", "Calls from callers, by outcome.", "outcome"),
            call_seconds,
            attempts: counters("valetrack_attempts_total", "Attempts, by result.", "result"),
            sends: counters_by("valetrack_sends_total", "Attempts sent, by service and cause.", &["service", "cause"]),
            region_calls: counters("valetrack_region_calls_total", "Attempts sent to other regions.", "region"),
            region_bytes: counters_by(
                "valetrack_region_bytes_total",
                "Bytes of calls, answers and probes between regions.",
                &["region", "direction"],
            ),
            region_round_trip: gauges_by_label(
                "valetrack_region_round_trip_seconds",
                "Usual round trip to another region.",
                "region",
            ),
            region_link_load: gauges_by_label(
                "valetrack_region_link_load",
                "Used part of the link to another region, from 0 to 1.",
                "region",
            ),
            retries_refused: counters_by(
                "valetrack_repeats_refused_total",
                "Retries not sent because the retry budget was used up.",
                &["service", "cause"],
            ),
            nested_repeats,
            root_declined: counter(
                "valetrack_root_declined_total",
                "Calls that this owner declined because of the calls that their runs would make.",
            ),
            nested_roots: counters(
                "valetrack_nested_roots_total",
                "Calls of this node's upstream by how the call at their root was determined.",
                "basis",
            ),
            planned_returns: counters_by(
                "valetrack_planned_returns_total",
                "Refused callers by what was planned for their returns.",
                &["service", "plan"],
            ),
            caller_returns: counters_by(
                "valetrack_caller_returns_total",
                "Callers that returned after a refusal, by result.",
                &["service", "result"],
            ),
            repeats_left: gauges_by("valetrack_repeats_left", "Retries that this node may still send now."),
            repeat_reserve: gauges_by("valetrack_repeat_reserve", "This node's share of the fleet's retry reserve."),
            declined_attempts: counters(
                "valetrack_bounces_total",
                "Attempts declined before their start, by reason.",
                "reason",
            ),
            gate_in_flight: gauge("valetrack_gate_in_flight_calls", "Calls that run on the upstream."),
            gate_queued: gauge("valetrack_gate_queued_calls", "Calls that wait for a slot of the upstream."),
            upstream_rate_limit,
            upstream_calls_over_limit: counter(
                "valetrack_upstream_calls_over_limit_total",
                "Calls sent to the upstream beyond the rate limit that it requests.",
            ),
            displaced_attempts: counter(
                "valetrack_displaced_attempts_total",
                "Waiting attempts of a client account above its share that were declined for a call of another account.",
            ),
            upstream_crashes: counter(
                "valetrack_upstream_crashes_total",
                "Starts of the upstream without a preceding announcement that it leaves.",
            ),
            upstream_recurrent_crash: gauge(
                "valetrack_upstream_recurrent_crash",
                "1 if the upstream crashes repeatedly, otherwise 0.",
            ),
            suspensions: counter("valetrack_suspensions_total", "Suspensions of the VM."),
            crash_reports: counter("valetrack_crash_reports_total", "Crashes of the upstream while it ran calls."),
            crash_suspects: gauge(
                "valetrack_crash_suspects",
                "Calls that may have crashed upstreams and are not cleared.",
            ),
            quarantined_calls: counters_by(
                "valetrack_quarantined_calls_total",
                "Calls refused because they crash upstreams.",
                &["service", "by"],
            ),
            stray_answers: counter(
                "valetrack_stray_answers_total",
                "Answers dropped because they belong to no open attempt.",
            ),
            bad_frames: counter("valetrack_bad_frames_total", "Link frames that could not be parsed."),
            invalid_input: counters(
                "valetrack_invalid_input_total",
                "Entries and announcements that could not be parsed, by code.",
                "code",
            ),
            bad_calls: counter("valetrack_bad_calls_total", "Calls from callers that were refused as invalid."),
            connections_ended: counters(
                "valetrack_caller_connections_ended_total",
                "Connections of callers that have ended, by reason.",
                "reason",
            ),
            unanswered_calls: counters(
                "valetrack_unanswered_calls_total",
                "Requests of callers that ended without their whole answer, by reason.",
                "reason",
            ),
            rejected_calls: counters(
                "valetrack_rejected_calls_total",
                "Calls from callers that were rejected before they were placed, by code.",
                "code",
            ),
            calls_started_ahead: counter(
                "valetrack_calls_started_ahead_total",
                "Calls started before the calls ahead of them on their connection were answered.",
            ),
            over_rate: counter(
                "valetrack_over_rate_calls_total",
                "Calls refused because their account exceeds its rate.",
            ),
            quota_requests: counter("valetrack_quota_questions_total", "Credit requests to homes of client accounts."),
            quota_unanswered: counter(
                "valetrack_quota_unanswered_total",
                "Calls for which no home of their account answered.",
            ),
            quota_promises: counters_by(
                "valetrack_quota_promises_total",
                "Replies to requests for the promise of a stand-in to grant no credits.",
                &["direction", "reply"],
            ),
            measure_bytes: counter("valetrack_measure_bytes_total", "Bytes transferred only for measurements."),
            measure_budget: gauge("valetrack_measure_budget_bytes_per_second", "Measurement budget."),
            probes: counter("valetrack_probes_total", "Probes sent."),
            relay_requests: counter(
                "valetrack_relay_questions_total",
                "Requests to the node that is followed instead of the store.",
            ),
            relay_takeovers: counter(
                "valetrack_relay_takeovers_total",
                "Times that this node has become a relay since the relays were behind the store.",
            ),
            relay_update_bytes: counter(
                "valetrack_relay_update_bytes_total",
                "Bytes of store updates sent to the nodes that follow this one.",
            ),
            speed_requests: counter("valetrack_speed_questions_total", "Speed requests to the upstream's machine."),
            store_calls: counters("valetrack_store_calls_total", "Calls to the store, by kind.", "kind"),
            store_failures: counters(
                "valetrack_store_failures_total",
                "Calls to the store that failed, by code.",
                "code",
            ),
            store_outdated: counter(
                "valetrack_store_outdated_total",
                "Store reads dropped because they returned an earlier state.",
            ),
            store_rollbacks: counter("valetrack_store_rollbacks_total", "Store rollbacks."),
            bundle_number: gauge("valetrack_bundle_number", "Number of the bundle in force."),
            bundle_fetches: counters(
                "valetrack_bundle_fetches_total",
                "Requests for the text of a bundle to other nodes, by result.",
                "result",
            ),
            bundle_text_bytes: counter(
                "valetrack_bundle_text_bytes_total",
                "Bytes of bundle texts sent to other nodes.",
            ),
            presses: counters("valetrack_presses_total", "Keyed calls, by reply.", "reply"),
            links: gauge("valetrack_links_open", "Links that this node has opened."),
            links_opened: counters(
                "valetrack_links_opened_total",
                "Links opened by this node, by the kind of the request that needed them.",
                "purpose",
            ),
            links_failed: counters(
                "valetrack_links_failed_total",
                "Links that could not be opened, by the kind of the request that needed them.",
                "purpose",
            ),
            accepted_links: gauge("valetrack_links_accepted_open", "Links that other nodes have opened to this one."),
            memory_held,
            memory_limit: gauge(
                "valetrack_memory_limit_bytes",
                "Limit of the bytes held for callers, peers and the upstream.",
            ),
            memory_refusals: counters(
                "valetrack_memory_refusals_total",
                "Calls, answers and connections for which there was no memory, by kind.",
                "kind",
            ),
            memory_evictions: counter(
                "valetrack_memory_evictions_total",
                "Connections of callers closed to release memory or descriptors.",
            ),
            log_dropped: gauge("valetrack_log_lines_dropped", "Log lines dropped since the start."),
            registry,
        }
    }

    /// Writes all metrics as text.
    pub fn render(&self) -> String {
        self.log_dropped.set(crate::timeline::log::dropped() as i64);
        let mut out = Vec::new();
        // The text encoder fails only when its writer does, and a vector never does.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
