//! Benchmark figures and their output formats.

use serde::Serialize;

/// Target of a figure.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The value must not be below this limit.
    AtLeast(f64),
    /// The value must not be above this limit.
    AtMost(f64),
    /// The value has no target and is only shown for comparison.
    None,
}

/// The value that a baseline scheduler reaches for a figure, measured in the same run.
#[derive(Debug, Clone, Serialize)]
pub struct BaselineValue {
    /// Name of the baseline scheduler.
    pub name: String,
    /// Value of the baseline scheduler, in the unit of the figure.
    pub value: f64,
    /// Value of the figure divided by `value`.
    pub ratio: f64,
}

/// A measured value with its target and baselines.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Name of the figure: what is measured, and on which cell.
    pub name: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Target of the value.
    pub target: Target,
    /// Whether the value meets the target; true without a target.
    pub met: bool,
    /// Values of the baseline schedulers.
    pub baselines: Vec<BaselineValue>,
}

impl Figure {
    /// Creates a figure without baselines.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str, target: Target) -> Self {
        let met = match target {
            Target::AtLeast(limit) => value >= limit,
            Target::AtMost(limit) => value <= limit,
            Target::None => true,
        };
        Self {
            name: name.into(),
            value,
            unit,
            target,
            met,
            baselines: Vec::new(),
        }
    }

    /// Adds the value of a baseline.
    #[must_use]
    pub fn with_baseline(mut self, name: impl Into<String>, value: f64) -> Self {
        self.baselines.push(BaselineValue {
            name: name.into(),
            value,
            ratio: self.value / value,
        });
        self
    }

    /// Returns the figure as one line of JSON.
    #[must_use]
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the figure as a row of a Markdown table.
    #[must_use]
    pub fn row(&self) -> String {
        let target = match self.target {
            Target::AtLeast(limit) => format!("at least {}", format_value(limit)),
            Target::AtMost(limit) => format!("at most {}", format_value(limit)),
            Target::None => "–".to_owned(),
        };
        let met = match self.target {
            Target::None => "–",
            _ if self.met => "yes",
            _ => "no",
        };
        let baselines: Vec<String> = self
            .baselines
            .iter()
            .map(|b| {
                format!(
                    "{}: {} (ratio {})",
                    b.name,
                    format_value(b.value),
                    format_value(b.ratio)
                )
            })
            .collect();
        format!(
            "| {} | {} {} | {target} | {met} | {} |",
            self.name,
            format_value(self.value),
            self.unit,
            baselines.join("; ")
        )
    }
}

/// Header of the Markdown table whose rows [`Figure::row`] returns.
pub const TABLE_HEADER: &str = "| figure | measured | target | met | baselines in the same run |\n| --- | --- | --- | --- | --- |";

/// Formats a value with at least three significant digits from 1 on, and with four decimals below.
fn format_value(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
