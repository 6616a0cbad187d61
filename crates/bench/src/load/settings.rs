//! Settings of a run, in YAML.

use std::net::SocketAddr;

use miette::{IntoDiagnostic, Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};

/// Settings of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seed of everything that is drawn.
    #[serde(default = "default::seed")]
    pub seed: u64,
    /// Part of every nonce and key; it must differ between runs against the same stand-ins. Without it the time of the
    /// start is taken.
    #[serde(default)]
    pub run: Option<String>,
    /// Time in which calls start, in s.
    #[serde(default = "default::duration_s")]
    pub duration_s: f64,
    /// Calls after which no further call starts.
    #[serde(default)]
    pub requests: Option<u64>,
    /// Time at the start that does not count in figures, in s. Checks cover the whole run.
    #[serde(default)]
    pub warmup_s: f64,
    /// Time after which a call is given up, in s.
    #[serde(default = "default::timeout_s")]
    pub timeout_s: f64,
    /// Pause between the last answer and the reading of the logs, in ms, in which a refused request that runs after
    /// all can show up.
    #[serde(default = "default::settle_ms")]
    pub settle_ms: u64,
    /// One-way delay between callers and targets that is added, in ms. The timer adds up to 1 ms to it.
    #[serde(default)]
    pub delay_ms: u64,
    /// Entry hosts, or stand-in model engines for a run without routers.
    pub targets: Vec<SocketAddr>,
    /// Targets of plain calls, if they differ.
    #[serde(default)]
    pub plain_targets: Vec<SocketAddr>,
    /// How calls are spread over the targets.
    #[serde(default)]
    pub spread: Spread,
    /// Stand-in model engines, driven directly by `saturate` and `overhead`.
    #[serde(default)]
    pub direct: Vec<SocketAddr>,
    /// Control addresses of all stand-ins, for their logs.
    #[serde(default)]
    pub logs: Vec<SocketAddr>,
    /// Control addresses of the stand-in model engines, for their load.
    #[serde(default)]
    pub loads: Vec<SocketAddr>,
    /// Slots of all model engines together; used for the utilisation.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Weighted tokens per second at direct saturation, as printed by `load saturate`.
    #[serde(default)]
    pub saturation: Option<f64>,
    /// Greatest fairness gap that passes, in weighted tokens per share.
    #[serde(default)]
    pub gap_bound: Option<f64>,
    /// Weights of tokens.
    #[serde(default)]
    pub weights: Weights,
    /// Calls of open-loop accounts in flight at most, for the sake of the client's own sockets.
    #[serde(default = "default::in_flight_limit")]
    pub in_flight_limit: usize,
    /// Processes whose CPU time is measured.
    #[serde(default)]
    pub processes: Vec<u32>,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

/// How calls are spread over the targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Spread {
    /// Each call goes to a random target.
    #[default]
    Random,
    /// Each account has one target.
    Account,
    /// Each call goes to a random target with these weights, one per target.
    Weighted {
        /// Relative weights.
        weights: Vec<f64>,
    },
}

/// Weights of tokens in a charge.
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

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name in the report.
    pub name: String,
    /// API key.
    #[serde(default)]
    pub key: String,
    /// Share of the capacity.
    #[serde(default = "default::one")]
    pub share: f64,
    /// When it sends.
    pub behaviour: Behaviour,
    /// Model that it asks for; gaps are compared between accounts with the same model.
    #[serde(default = "default::model")]
    pub model: String,
    /// Prompt tokens.
    #[serde(default = "default::prompt")]
    pub prompt: Length,
    /// Output tokens.
    #[serde(default = "default::output")]
    pub output: Length,
    /// Documents that the prompts of the account start with; 0 for none.
    #[serde(default)]
    pub documents: u32,
    /// Share of a prompt that a document makes up.
    #[serde(default = "default::half")]
    pub document_share: f64,
    /// Share of the model requests that are streamed.
    #[serde(default = "default::half")]
    pub streamed: f64,
    /// Plain calls of the account.
    #[serde(default)]
    pub plain: Option<Plain>,
}

/// When an account sends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Behaviour {
    /// Closed loop: as soon as a call ends the next one starts.
    Backlogged {
        /// Calls in flight.
        in_flight: usize,
    },
    /// Open loop: calls start independently of the answers, with exponential gaps.
    Open {
        /// Calls per second.
        rate: f64,
    },
    /// Open loop with more calls than the queue takes; counts as backlogged.
    Flood {
        /// Calls per second.
        rate: f64,
    },
}

impl Behaviour {
    /// Whether the account always has a request waiting.
    pub fn is_backlogged(self) -> bool {
        !matches!(self, Behaviour::Open { .. })
    }
}

/// Log-normal distribution of token counts, cut at `max`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm; 0 for a fixed length.
    #[serde(default)]
    pub sigma: f64,
    /// Greatest value.
    #[serde(default = "default::max_tokens")]
    pub max: u32,
}

/// Plain calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Pool in the path `/plain/POOL/...`.
    pub pool: String,
    /// Share of the calls of the account that are plain.
    pub share: f64,
    /// Share of the plain calls that are marked as non-idempotent.
    #[serde(default = "default::half")]
    pub non_idempotent: f64,
    /// Share of the non-idempotent calls that have an idempotency key; the others are never sent again.
    #[serde(default = "default::one")]
    pub keyed: f64,
    /// How often a call is sent again to another target after its answer was lost.
    #[serde(default = "default::resends")]
    pub resends: u32,
    /// Share of the first attempts whose connection the caller drops early.
    #[serde(default)]
    pub abandoned: f64,
    /// Longest time until an abandoned call is dropped, in ms.
    #[serde(default = "default::abandon_ms")]
    pub abandon_ms: f64,
}

/// Default values.
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
    /// Reads and checks settings.
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

    /// Checks the values.
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
                "spread needs one weight of at least 0 per target, and one above 0"
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
