//! Run times learned from ended tasks.

use primrosebay_state::Name;

/// Ended tasks of a family that are remembered.
const KEPT: usize = 16;
/// Ended tasks of a family before its estimate replaces the declared run time.
const ENOUGH: usize = 4;
/// Most families; further ones use declared run times.
const FAMILIES: usize = 20_000;

#[derive(Debug)]
struct Family {
    team: Name,
    stem: Name,
    /// The latest run times in milliseconds, in a ring.
    runs: Vec<u64>,
    next: usize,
}

/// Run times by family: the jobs of a team whose names differ only in trailing digits and hyphens.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    families: Vec<Family>,
}

impl Estimates {
    /// Returns the learned run time in milliseconds, or `declared` if too little is known.
    pub(super) fn run_ms(&self, team: &str, name: &str, declared: u64) -> u64 {
        let Ok(at) = self.find(team, name) else {
            return declared;
        };
        let runs = &self.families[at].runs;
        if runs.len() < ENOUGH {
            return declared;
        }
        let mut sorted = runs.clone();
        sorted.sort_unstable();
        // A high percentile, because a gang that starts late costs more than a hole in backfilling.
        sorted[sorted.len() * 4 / 5]
    }

    pub(super) fn learn(&mut self, team: &Name, name: &str, run_ms: u64) {
        let at = match self.find(team, name) {
            Ok(at) => at,
            Err(_) if self.families.len() >= FAMILIES => return,
            Err(at) => {
                let family = Family {
                    team: team.clone(),
                    stem: Name::from(stem(name)),
                    runs: Vec::new(),
                    next: 0,
                };
                self.families.insert(at, family);
                at
            }
        };
        let family = &mut self.families[at];
        if family.runs.len() < KEPT {
            family.runs.push(run_ms);
        } else {
            family.runs[family.next] = run_ms;
            family.next = (family.next + 1) % KEPT;
        }
    }

    fn find(&self, team: &str, name: &str) -> Result<usize, usize> {
        let stem = stem(name);
        self.families
            .binary_search_by(|f| (&*f.team, &*f.stem).cmp(&(team, stem)))
    }
}

/// Returns the part of a job's name that its family has in common.
fn stem(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-')
}
