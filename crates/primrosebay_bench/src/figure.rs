//! A measured figure and how it is written.

use serde::Serialize;

/// What a figure has to reach.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The value must not be lower.
    AtLeast(f64),
    /// The value must not be higher.
    AtMost(f64),
    /// The value is shown beside the others and has no target.
    None,
}

/// The same figure of a simpler scheduler, measured in the same run.
#[derive(Debug, Clone, Serialize)]
pub struct Compared {
    /// The baseline.
    pub name: String,
    /// Its value.
    pub value: f64,
    /// The figure divided by the baseline's.
    pub ratio: f64,
}

/// A measured figure.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What is measured, and on which cell.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// What the value has to reach.
    pub target: Target,
    /// Whether it does.
    pub met: bool,
    /// The baselines.
    pub baselines: Vec<Compared>,
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
    pub fn against(mut self, name: impl Into<String>, value: f64) -> Self {
        self.baselines.push(Compared {
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
            Target::AtLeast(limit) => format!("at least {}", round(limit)),
            Target::AtMost(limit) => format!("at most {}", round(limit)),
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
            .map(|b| format!("{}: {} (ratio {})", b.name, round(b.value), round(b.ratio)))
            .collect();
        format!(
            "| {} | {} {} | {target} | {met} | {} |",
            self.name,
            round(self.value),
            self.unit,
            baselines.join("; ")
        )
    }
}

/// The head of a Markdown table of figures.
pub const HEAD: &str = "| figure | measured | target | met | baselines in the same run |\n| --- | --- | --- | --- | --- |";

/// Writes a value with about four significant digits.
fn round(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
