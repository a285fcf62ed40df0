//! Metrics of a node, by the conventions of Prometheus.

use prometheus::{
    CounterVec, Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the call histogram, in seconds.
const CALL_BOUNDS_S: &[f64] =
    &[0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0, 2.0, 5.0];

/// All metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls of callers by outcome.
    pub calls: IntCounterVec,
    /// Time of calls at their entry, in seconds.
    pub call_seconds: Histogram,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Attempts sent, by service and cause.
    pub sends: IntCounterVec,
    /// Repeats not sent for want of budget, by service and cause.
    pub repeats_refused: IntCounterVec,
    /// Calls that repeated runs of the own upstream made, by service; parts of calls where it is a chance.
    pub nested_repeats: CounterVec,
    /// Repeats that this node may still send now, by service.
    pub repeats_left: GaugeVec,
    /// This node's part of the fleet's reserve of repeats, by service.
    pub repeat_reserve: GaugeVec,
    /// Attempts given back by reason.
    pub bounces: IntCounterVec,
    /// Calls that run at this VM's server.
    pub gate_in_flight: IntGauge,
    /// Calls that wait at this VM's server.
    pub gate_queued: IntGauge,
    /// Starts of the upstream without a word of leaving before.
    pub upstream_crashes: IntCounter,
    /// Whether the upstream falls over again and again.
    pub upstream_recurrent_crash: IntGauge,
    /// Suspensions of the VM.
    pub suspensions: IntCounter,
    /// Crashes of the upstream while it ran calls.
    pub crash_reports: IntCounter,
    /// Suspects of crashes that this node knows of and that are not cleared.
    pub crash_suspects: IntGauge,
    /// Calls that were refused since they crash upstreams, by service and by who refused them.
    pub quarantined_calls: IntCounterVec,
    /// Answers that belong to no open attempt.
    pub stray_answers: IntCounter,
    /// Frames that could not be read.
    pub bad_frames: IntCounter,
    /// Entries and announcements that could not be read, by code.
    pub invalid_input: IntCounterVec,
    /// Calls of callers that could not be read.
    pub bad_calls: IntCounter,
    /// Calls refused since their client account is over its rate.
    pub over_rate: IntCounter,
    /// Questions for credits put to homes of client accounts.
    pub quota_questions: IntCounter,
    /// Calls for which no home of their client account answered.
    pub quota_unanswered: IntCounter,
    /// Bytes spent only on measuring.
    pub measure_bytes: IntCounter,
    /// Budget for that, in bytes a second.
    pub measure_budget: IntGauge,
    /// Probes sent.
    pub probes: IntCounter,
    /// Questions put to the upstream's machine for its speed.
    pub speed_questions: IntCounter,
    /// Questions to the node that is followed in place of the store.
    pub relay_questions: IntCounter,
    /// Calls to the store by kind.
    pub store_calls: IntCounterVec,
    /// Calls to the store that failed, by code.
    pub store_failures: IntCounterVec,
    /// Reads of the store that showed an earlier state than is known, and were dropped.
    pub store_outdated: IntCounter,
    /// Times that the store has come back older.
    pub store_rollbacks: IntCounter,
    /// Number of the bundle in force.
    pub bundle_number: IntGauge,
    /// Presses by how they ended.
    pub presses: IntCounterVec,
    /// Open links that this node opened.
    pub links: IntGauge,
    /// Lines of the log that were dropped.
    log_dropped: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a fault of this file.
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
        let gauges_by = |name: &str, help: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &["service"]).expect("valid name");
            registry.register(Box::new(gauges.clone())).expect("unique name");
            gauges
        };
        let opts = Opts::new("valetrack_nested_repeats_total", "Calls that repeated runs of the own upstream made.");
        let nested_repeats = CounterVec::new(opts, &["service"]).expect("valid name");
        registry.register(Box::new(nested_repeats.clone())).expect("unique name");
        let counters = |name: &str, help: &str, label: &str| counters_by(name, help, &[label]);
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry.register(Box::new(gauge.clone())).expect("unique name");
            gauge
        };
        let opts = HistogramOpts::new("valetrack_call_seconds", "Time of calls at their entry.");
        let call_seconds = Histogram::with_opts(opts.buckets(CALL_BOUNDS_S.to_vec())).expect("valid name");
        registry.register(Box::new(call_seconds.clone())).expect("unique name");
        Self {
            calls: counters("valetrack_calls_total", "Calls of callers by outcome.", "outcome"),
            call_seconds,
            attempts: counters("valetrack_attempts_total", "Attempts by how they ended.", "result"),
            sends: counters_by("valetrack_sends_total", "Attempts sent, by why.", &["service", "cause"]),
            repeats_refused: counters_by(
                "valetrack_repeats_refused_total",
                "Repeats not sent for want of budget.",
                &["service", "cause"],
            ),
            nested_repeats,
            repeats_left: gauges_by("valetrack_repeats_left", "Repeats that may still be sent now."),
            repeat_reserve: gauges_by("valetrack_repeat_reserve", "Part of the fleet's reserve of repeats."),
            bounces: counters("valetrack_bounces_total", "Attempts given back unstarted.", "reason"),
            gate_in_flight: gauge("valetrack_gate_in_flight_calls", "Calls that run at the server."),
            gate_queued: gauge("valetrack_gate_queued_calls", "Calls that wait for a slot."),
            upstream_crashes: counter(
                "valetrack_upstream_crashes_total",
                "Starts of the upstream that came unannounced.",
            ),
            upstream_recurrent_crash: gauge(
                "valetrack_upstream_recurrent_crash",
                "Whether the upstream falls over again and again.",
            ),
            suspensions: counter("valetrack_suspensions_total", "Suspensions of the VM."),
            crash_reports: counter("valetrack_crash_reports_total", "Crashes of the upstream while it ran calls."),
            crash_suspects: gauge("valetrack_crash_suspects", "Calls that may have crashed upstreams, not cleared."),
            quarantined_calls: counters_by(
                "valetrack_quarantined_calls_total",
                "Calls refused since they crash upstreams.",
                &["service", "by"],
            ),
            stray_answers: counter("valetrack_stray_answers_total", "Answers of no open attempt, dropped."),
            bad_frames: counter("valetrack_bad_frames_total", "Frames on links that could not be read."),
            invalid_input: counters(
                "valetrack_invalid_input_total",
                "Entries and announcements that could not be read.",
                "code",
            ),
            bad_calls: counter("valetrack_bad_calls_total", "Calls of callers that were refused as bad input."),
            over_rate: counter(
                "valetrack_over_rate_calls_total",
                "Calls refused since their account is over its rate.",
            ),
            quota_questions: counter("valetrack_quota_questions_total", "Questions for credits of client accounts."),
            quota_unanswered: counter(
                "valetrack_quota_unanswered_total",
                "Calls for which no home of their account answered.",
            ),
            measure_bytes: counter("valetrack_measure_bytes_total", "Bytes spent only on measuring."),
            measure_budget: gauge("valetrack_measure_budget_bytes_per_second", "Budget for measuring."),
            probes: counter("valetrack_probes_total", "Probes sent."),
            relay_questions: counter("valetrack_relay_questions_total", "Questions to the relay that is followed."),
            speed_questions: counter("valetrack_speed_questions_total", "Questions for the machine's speed."),
            store_calls: counters("valetrack_store_calls_total", "Calls to the store by kind.", "kind"),
            store_failures: counters("valetrack_store_failures_total", "Calls to the store that failed.", "code"),
            store_outdated: counter("valetrack_store_outdated_total", "Reads that showed an earlier state, dropped."),
            store_rollbacks: counter("valetrack_store_rollbacks_total", "Times that the store has come back older."),
            bundle_number: gauge("valetrack_bundle_number", "Number of the bundle in force."),
            presses: counters("valetrack_presses_total", "Presses with a key by how they ended.", "reply"),
            links: gauge("valetrack_links_open", "Links that this node has opened."),
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
