//! When a change of configuration counts as accepted (design 5.4).

use primrosebay_state::Name;

/// What is known about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It says that it is current.
    Current,
    /// It says that it is not current; it must catch up before it counts for a quorum.
    Behind,
    /// It has not answered lately, and may be current by what it hears from others.
    Unreachable,
}

/// An entry instance and how far it has applied the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The offset after the last record that it has applied.
    pub next: u64,
    /// Whether it is current.
    pub state: MemberState,
}

/// Whether a change is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// Whether instances in more than half of the zones of every region have applied it.
    pub accepted: bool,
    /// The zones that have not applied it, by name.
    pub missing: Vec<Name>,
}

/// Judges the change at `offset`. `zones` are the declared zones, each with its region; `members`
/// are all known entry instances, also those that were never heard.
///
/// A zone has applied the change if a current instance there has, and no instance there that may be
/// current has not. A silent instance counts as one that may be current: it can be cut off from
/// this instance alone and form a quorum with others.
#[must_use]
pub fn evaluate<'a>(
    offset: u64,
    zones: impl IntoIterator<Item = (&'a Name, &'a Name)>,
    members: &[Member],
) -> Acceptance {
    let mut regions: Vec<(&Name, usize, usize)> = Vec::new();
    let mut missing = Vec::new();
    for (zone, region) in zones {
        let applied = zone_applied(offset, zone, members);
        let at = match regions.binary_search_by_key(&region, |entry| entry.0) {
            Ok(at) => at,
            Err(at) => {
                regions.insert(at, (region, 0, 0));
                at
            }
        };
        regions[at].1 += usize::from(applied);
        regions[at].2 += 1;
        if !applied {
            missing.push(zone.clone());
        }
    }
    missing.sort();
    Acceptance {
        accepted: !regions.is_empty() && regions.iter().all(|(_, some, all)| some * 2 > *all),
        missing,
    }
}

fn zone_applied(offset: u64, zone: &str, members: &[Member]) -> bool {
    let mut here = members
        .iter()
        .filter(|member| &*member.zone == zone && member.state != MemberState::Behind)
        .peekable();
    here.peek().is_some() && here.all(|member| member.next > offset)
}
