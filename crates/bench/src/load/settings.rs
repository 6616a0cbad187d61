//! Settings of a run, read from YAML.

use std::net::SocketAddr;

use miette::{IntoDiagnostic, Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};

/// Settings of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seed of all random choices.
    #[serde(default = "default::seed")]
    pub seed: u64,
    /// Identifier of the run, part of every nonce and idempotency key. It must differ between runs against the same
    /// stand-ins. If it is missing, the start time is used.
    #[serde(default)]
    pub run: Option<String>,
    /// Time span in which calls start, in s.
    #[serde(default = "default::duration_s")]
    pub duration_s: f64,
    /// Maximum number of calls over all accounts.
    #[serde(default)]
    pub requests: Option<u64>,
    /// Time at the start of the run that is left out of the measurements, in s. Checks cover the whole run.
    #[serde(default)]
    pub warmup_s: f64,
    /// Time after which the caller gives up an attempt, in s.
    #[serde(default = "default::timeout_s")]
    pub timeout_s: f64,
    /// Pause between the last answer and the reading of the execution logs, in ms. A request that was refused but is
    /// still executed has this time to appear in a log.
    #[serde(default = "default::settle_ms")]
    pub settle_ms: u64,
    /// Simulated one-way network delay between callers and targets, in ms. The timer adds up to 1 ms to it.
    #[serde(default)]
    pub delay_ms: u64,
    /// Addresses of the entry hosts, or of stand-in model engines for a run without routers.
    pub targets: Vec<SocketAddr>,
    /// Targets of plain calls; if empty, `targets` is used.
    #[serde(default)]
    pub plain_targets: Vec<SocketAddr>,
    /// Distribution of the calls over the targets.
    #[serde(default)]
    pub spread: Spread,
    /// Addresses of the stand-in model engines that `saturate` and `overhead` call directly.
    #[serde(default)]
    pub direct: Vec<SocketAddr>,
    /// Control addresses of all stand-ins, from which the execution logs are read.
    #[serde(default)]
    pub logs: Vec<SocketAddr>,
    /// Control addresses of the stand-in model engines, from which the load is read.
    #[serde(default)]
    pub loads: Vec<SocketAddr>,
    /// Total number of slots of all model engines, from which the slot utilisation is computed.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Weighted tokens per second at direct saturation, as printed by `load saturate`.
    #[serde(default)]
    pub saturation: Option<f64>,
    /// Largest fairness gap with which the run passes, in weighted tokens per share.
    #[serde(default)]
    pub gap_bound: Option<f64>,
    /// Weights of prompt and output tokens in fairness and throughput.
    #[serde(default)]
    pub weights: Weights,
    /// Maximum number of open-loop calls in flight, which limits the sockets that the load generator itself uses.
    #[serde(default = "default::in_flight_limit")]
    pub in_flight_limit: usize,
    /// Ids of the processes whose CPU time `overhead` measures.
    #[serde(default)]
    pub processes: Vec<u32>,
    /// Client accounts that send calls.
    pub accounts: Vec<Account>,
}

/// Distribution of calls over the targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Spread {
    /// Each call goes to a random target.
    #[default]
    Random,
    /// All calls of an account go to the same target.
    Account,
    /// Each call goes to a random target with these weights, one per target.
    Weighted {
        /// Relative weights of the targets.
        weights: Vec<f64>,
    },
}

/// Weights of prompt and output tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Weight of a prompt token.
    pub input: f64,
    /// Weight of an output token.
    pub output: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            input: 1.0,
            output: 2.0,
        }
    }
}

/// A client account and the calls that it makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account in the report.
    pub name: String,
    /// API key that is sent with every call.
    #[serde(default)]
    pub key: String,
    /// Share of the capacity, relative to the other accounts.
    #[serde(default = "default::one")]
    pub share: f64,
    /// When the account starts calls.
    pub behaviour: Behaviour,
    /// Requested model. The fairness gap is computed between accounts with the same model.
    #[serde(default = "default::model")]
    pub model: String,
    /// Distribution of the prompt length, in tokens.
    #[serde(default = "default::prompt")]
    pub prompt: Length,
    /// Distribution of the output length, in tokens.
    #[serde(default = "default::output")]
    pub output: Length,
    /// Number of different documents of the account. Each prompt starts with a part of one of them; 0 for none.
    #[serde(default)]
    pub documents: u32,
    /// Fraction of a prompt that consists of the document.
    #[serde(default = "default::half")]
    pub document_share: f64,
    /// Fraction of the model requests that ask for an event stream.
    #[serde(default = "default::half")]
    pub streamed: f64,
    /// Calls of the account to a plain service.
    #[serde(default)]
    pub plain: Option<Plain>,
}

/// When an account starts calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Behaviour {
    /// Closed loop: when a call ends, the next one starts.
    Backlogged {
        /// Number of calls in flight.
        in_flight: usize,
    },
    /// Open loop: calls start independently of the answers, at exponentially distributed intervals.
    Open {
        /// Mean number of calls per second.
        rate: f64,
    },
    /// Open loop with more calls than the queue accepts; the account counts as backlogged.
    Flood {
        /// Mean number of calls per second.
        rate: f64,
    },
}

impl Behaviour {
    /// Returns whether the account always has a request waiting.
    pub fn is_backlogged(self) -> bool {
        !matches!(self, Behaviour::Open { .. })
    }
}

/// Log-normal distribution of a length in tokens, truncated at `max`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Median length, in tokens.
    pub median: f64,
    /// Standard deviation of the natural logarithm of the length; 0 for a fixed length.
    #[serde(default)]
    pub sigma: f64,
    /// Maximum length, in tokens.
    #[serde(default = "default::max_tokens")]
    pub max: u32,
}

/// Calls of an account to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Name of the pool in the path `/plain/POOL/...`.
    pub pool: String,
    /// Fraction of the calls of the account that go to the plain service.
    pub share: f64,
    /// Fraction of the plain calls that are marked as non-idempotent.
    #[serde(default = "default::half")]
    pub non_idempotent: f64,
    /// Fraction of the non-idempotent calls that have an idempotency key; the others are never resent.
    #[serde(default = "default::one")]
    pub keyed: f64,
    /// How often a call is resent to another target after its answer was lost.
    #[serde(default = "default::resends")]
    pub resends: u32,
    /// Fraction of the first attempts that the caller abandons by dropping the connection.
    #[serde(default)]
    pub abandoned: f64,
    /// Maximum time until the caller abandons an attempt, in ms.
    #[serde(default = "default::abandon_ms")]
    pub abandon_ms: f64,
}

/// Default values of the settings.
mod default {
    use super::Length;

    pub(super) fn seed() -> u64 {
        1
    }
    pub(super) fn duration_s() -> f64 {
        10.0
    }
    pub(super) fn timeout_s() -> f64 {
        60.0
    }
    pub(super) fn settle_ms() -> u64 {
        500
    }
    pub(super) fn in_flight_limit() -> usize {
        2_000
    }
    pub(super) fn one() -> f64 {
        1.0
    }
    pub(super) fn half() -> f64 {
        0.5
    }
    pub(super) fn model() -> String {
        "model".to_owned()
    }
    pub(super) fn max_tokens() -> u32 {
        4_000
    }
    pub(super) fn resends() -> u32 {
        2
    }
    pub(super) fn abandon_ms() -> f64 {
        20.0
    }
    pub(super) fn prompt() -> Length {
        Length {
            median: 200.0,
            sigma: 1.2,
            max: max_tokens(),
        }
    }
    pub(super) fn output() -> Length {
        Length {
            median: 100.0,
            sigma: 1.0,
            max: max_tokens(),
        }
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid YAML for this type or a value is out of range.
    pub fn parse(text: &str) -> Result<Settings> {
        let settings: Settings = serde_yaml_ng::from_str(text)
            .into_diagnostic()
            .wrap_err("the settings are not valid")?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first value that is out of range.
    pub fn validate(&self) -> Result<()> {
        ensure!(!self.targets.is_empty(), "targets must not be empty");
        ensure!(!self.accounts.is_empty(), "accounts must not be empty");
        ensure!(
            self.warmup_s < self.duration_s,
            "warmup_s must be less than duration_s"
        );
        if let Spread::Weighted { weights } = &self.spread {
            let usable =
                weights.iter().all(|weight| *weight >= 0.0) && weights.iter().sum::<f64>() > 0.0;
            ensure!(
                usable && weights.len() == self.targets.len(),
                "spread needs one weight per target, each at least 0 and at least one above 0"
            );
        }
        for account in &self.accounts {
            ensure!(
                account.share > 0.0,
                "account {}: share must be above 0",
                account.name
            );
            ensure!(
                account.prompt.median >= 1.0 && account.output.median >= 1.0,
                "account {}: the median length must be at least 1",
                account.name
            );
            if let Behaviour::Open { rate } | Behaviour::Flood { rate } = account.behaviour {
                ensure!(rate > 0.0, "account {}: rate must be above 0", account.name);
            }
        }
        Ok(())
    }
}
