//! Faults and planned changes that a run of the soak test injects, alone or in series.

use primrosebay_platform_standin::{CommandKind, Effect, Fault, MinionFault};
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal as Sig;

/// A fault or a planned change, of the member or minion with the given index.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a signal to a member.
    Signal(usize, Sig),
    /// Stops a member by `SIGSTOP`.
    Pause(usize),
    /// Continues a paused member.
    Resume(usize),
    /// Sets whether the store rejects all calls.
    StoreDown(bool),
    /// The store loses a share of its answers.
    LoseAnswers,
    /// Disturbs the connections of a member to the store.
    Disturb(usize, Fault),
    /// Disturbs the commands to a minion.
    MinionFault(usize, MinionFault),
    /// Announces that a minion is draining.
    Drain(usize),
    /// Restarts a minion under its name.
    RestartMinion(usize),
    /// Writes a new version of the configuration.
    Configure,
    /// Ends all faults.
    Clear,
}

/// Returns a random fault of a minion.
fn minion_fault(rng: &mut SmallRng) -> MinionFault {
    let [starts, stops, holds] = [CommandKind::Start, CommandKind::Stop, CommandKind::Hold];
    let effects = [Effect::Late, Effect::Lost, Effect::AnswerLost];
    MinionFault {
        effect: effects[rng.random_range(0..effects.len())],
        commands: match rng.random_range(0..5) {
            0 => vec![starts],
            1 => vec![stops],
            2 => vec![starts, stops],
            _ => vec![starts, stops, holds],
        },
    }
}

/// Returns the planned changes of a stretch without faults, each with its delay in milliseconds. They
/// begin when members count as undisturbed, so that a stopping member may lose no request.
pub fn planned_series(members: usize, stretch: usize) -> Vec<(u64, Action)> {
    let (a, b) = (stretch % members, (stretch + 1) % members);
    vec![
        (3_200, Action::Signal(a, Sig::TERM)),
        (3_400, Action::Signal(b, Sig::HUP)),
        (3_500, Action::Configure),
        (4_600, Action::Signal(b, Sig::TERM)),
    ]
}

/// Returns a random series of actions for a cell of the given size, each with its delay in
/// milliseconds.
pub fn random_series(members: usize, minions: usize, rng: &mut SmallRng) -> Vec<(u64, Action)> {
    use Action::{
        Clear, Configure, Disturb, Drain, LoseAnswers, Pause, RestartMinion, Resume, Signal,
        StoreDown,
    };
    let (a, b) = (rng.random_range(0..members), rng.random_range(0..members));
    let minion = rng.random_range(0..minions);
    let early = rng.random_range(100..800);
    let later = rng.random_range(1_000..6_000);
    match rng.random_range(0..22) {
        0 => vec![(0, Signal(a, Sig::KILL))],
        1 => vec![(0, Signal(a, Sig::TERM))],
        2 => vec![(0, Signal(a, Sig::HUP))],
        3 => vec![(0, Pause(a))],
        4 => vec![(0, StoreDown(true))],
        5 => vec![(0, LoseAnswers)],
        6 | 7 => vec![(0, Action::MinionFault(minion, minion_fault(rng)))],
        8 => {
            let fault = match rng.random_range(0..4) {
                0 => Fault::Delay,
                1 => Fault::Reset,
                2 => Fault::OneWay,
                _ => Fault::Stall,
            };
            vec![(0, Disturb(a, fault))]
        }
        // Two kills, 1 s apart.
        9 => vec![(0, Signal(a, Sig::KILL)), (1_000, Signal(b, Sig::KILL))],
        // A pause that overlaps with a kill.
        10 => vec![
            (0, Pause(a)),
            (early, Signal(b, Sig::KILL)),
            (later, Resume(a)),
        ],
        // A planned stop while the store is down.
        11 => vec![
            (0, StoreDown(true)),
            (early, Signal(a, Sig::TERM)),
            (later, StoreDown(false)),
        ],
        // A new settings file and a new configuration while members restart.
        12 => vec![
            (0, Signal(a, Sig::TERM)),
            (early, Signal(b, Sig::HUP)),
            (early, Configure),
            (early + 300, Signal(a, Sig::HUP)),
            (early + 500, Signal(b, Sig::KILL)),
            (later, Configure),
        ],
        // Minions lose stops, and the leader may be killed.
        13 => {
            let lost = MinionFault {
                effect: Effect::Lost,
                commands: vec![CommandKind::Stop],
            };
            let faults = (0..minions).map(|m| (0, Action::MinionFault(m, lost.clone())));
            let kill = (later, Signal(a, Sig::KILL));
            faults.chain([kill, (later + 200, Clear)]).collect()
        }
        14 => vec![(0, RestartMinion(minion))],
        15 => vec![(0, Drain(minion)), (later, RestartMinion(minion))],
        // A rolling restart.
        16 => vec![
            (0, Signal(a, Sig::TERM)),
            (later, Signal(b, Sig::TERM)),
            (later, Configure),
        ],
        _ => vec![(0, Clear)],
    }
}
