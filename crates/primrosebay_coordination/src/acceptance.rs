//! Acceptance of configuration changes: whether enough entry instances have applied a change
//! (section 5.4 of the design).

use primrosebay_state::Name;

/// Whether an entry instance counts towards the acceptance of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The instance reports that its configuration is current.
    Current,
    /// The instance reports that its configuration is not current. It does not count towards a
    /// quorum until it has caught up.
    Behind,
    /// The instance has not answered recently. It may still be current through other instances.
    Unreachable,
}

/// An entry instance and the configuration offset that it has applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Offset after the last configuration record that the instance has applied.
    pub next: u64,
    /// Whether the instance counts towards acceptance.
    pub state: MemberState,
}

/// Result of evaluating a configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// Whether more than half of the zones of every region have applied the change; `false` if no
    /// zone is declared.
    pub accepted: bool,
    /// Zones that have not applied the change, sorted by name.
    pub missing: Vec<Name>,
}

/// Evaluates whether the configuration change at `offset` is accepted. `zones` yields the declared
/// zones, each with its region; `members` holds all known entry instances, including those that
/// never answered.
///
/// A zone has applied the change if it has an instance that may be current and all such instances
/// have applied it. An unreachable instance may be current: the partition may separate it from this
/// instance only, so that it still forms a quorum with others.
#[must_use]
pub fn evaluate<'a>(
    offset: u64,
    zones: impl IntoIterator<Item = (&'a Name, &'a Name)>,
    members: &[Member],
) -> Acceptance {
    // Regions with the number of zones that have applied the change and of all zones.
    let mut regions: Vec<(&Name, usize, usize)> = Vec::new();
    let mut missing = Vec::new();
    for (zone, region) in zones {
        let applied = zone_applied(offset, zone, members);
        let i = match regions.binary_search_by_key(&region, |entry| entry.0) {
            Ok(i) => i,
            Err(i) => {
                regions.insert(i, (region, 0, 0));
                i
            }
        };
        regions[i].1 += usize::from(applied);
        regions[i].2 += 1;
        if !applied {
            missing.push(zone.clone());
        }
    }
    missing.sort();
    Acceptance {
        accepted: !regions.is_empty()
            && regions
                .iter()
                .all(|(_, applied, total)| applied * 2 > *total),
        missing,
    }
}

fn zone_applied(offset: u64, zone: &str, members: &[Member]) -> bool {
    let mut candidates = members
        .iter()
        .filter(|member| &*member.zone == zone && member.state != MemberState::Behind)
        .peekable();
    candidates.peek().is_some() && candidates.all(|member| member.next > offset)
}
