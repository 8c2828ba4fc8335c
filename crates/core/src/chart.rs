//! Interpreter for state charts, which are TOML files in the `charts` folder of each crate.

use crate::prelude::*;
use std::collections::HashSet;

/// An enum whose variants are the names that a chart may use for its states, events, guards or actions.
pub trait Vocabulary: Copy + Eq + Debug + 'static {
    /// Each name in the chart file with its variant, ordered by [`Vocabulary::index`].
    const NAMES: &'static [(&'static str, Self)];

    /// Position of this variant in `NAMES`.
    fn index(self) -> usize;

    /// Name of this variant in the chart file.
    fn name(self) -> &'static str {
        Self::NAMES[self.index()].0
    }

    /// Variant with this name in the chart file; `None` if there is none.
    fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, value)| *value)
    }
}

/// Defines an enum that implements [`Vocabulary`], from pairs of a variant and its name in the chart file.
#[macro_export]
macro_rules! vocabulary {
    ($(#[$meta:meta])* $vis:vis enum $type:ident { $($(#[$doc:meta])* $variant:ident = $name:literal),* $(,)? }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        $vis enum $type { $($(#[$doc])* $variant),* }

        impl $crate::chart::Vocabulary for $type {
            const NAMES: &'static [(&'static str, Self)] = &[$(($name, Self::$variant)),*];

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

vocabulary! {
    /// Guards or actions of a machine without any.
    pub enum Nothing {}
}

/// A kind of state machine: the vocabulary of its chart and the chart file itself.
pub trait Machine: 'static {
    /// States that an instance can be in.
    type State: Vocabulary;
    /// Events that an instance handles or ignores.
    type Event: Vocabulary;
    /// Conditions of transitions, which the owner of an instance evaluates.
    type Guard: Vocabulary;
    /// Effects of transitions, which the owner of an instance carries out.
    type Action: Vocabulary;
    /// Text of the chart file, embedded with `include_str!`.
    const SOURCE: &'static str;
}

/// The validated chart of one kind of machine. It holds no current state; its users do.
#[derive(Debug)]
pub struct Chart<M: Machine> {
    initial: M::State,
    /// Transitions at `state * number of events + event`. The last one of each non-empty list has no guard; an empty
    /// list means that the state ignores the event.
    table: Vec<Vec<Transition<M>>>,
}

/// Result of one event: the next state and what to do.
#[derive(Debug)]
pub struct Step<'chart, M: Machine> {
    /// State after the event; the same state if the event is ignored.
    pub next: M::State,
    /// Actions to run, in order.
    pub actions: &'chart [M::Action],
    /// Whether a transition was taken; `false` if the state ignores the event.
    pub taken: bool,
}

#[derive(Debug)]
struct Transition<M: Machine> {
    guard: Option<M::Guard>,
    to: M::State,
    actions: Vec<M::Action>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: String,
    states: Vec<String>,
    events: Vec<String>,
    #[serde(default)]
    transition: Vec<TransitionEntry>,
    #[serde(default)]
    ignored: Vec<IgnoredEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionEntry {
    from: OneOrMany,
    on: OneOrMany,
    guard: Option<String>,
    to: String,
    #[serde(default)]
    actions: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IgnoredEntry {
    state: OneOrMany,
    events: Vec<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

impl OneOrMany {
    fn as_slice(&self) -> &[String] {
        match self {
            Self::One(name) => std::slice::from_ref(name),
            Self::Many(names) => names,
        }
    }
}

impl<M: Machine> Chart<M> {
    /// Parses and validates the chart file of `M`.
    ///
    /// # Errors
    ///
    /// The first [`ChartError`] found: invalid syntax, an unknown or undeclared name, a transition that can never be
    /// taken, an unreachable state, or a state that does not either handle or ignore an event.
    pub fn load() -> Result<Self, ChartError> {
        Self::parse(M::SOURCE)
    }

    /// Parses and validates a chart of `M` from text other than its embedded file.
    ///
    /// # Errors
    ///
    /// As for [`Chart::load`].
    pub fn parse(source: &str) -> Result<Self, ChartError> {
        let file: ChartFile = toml::from_str(source).context(chart_error::SyntaxSnafu)?;
        let chart = file.name.as_str();
        check_declared::<M::State>(chart, "states", &file.states)?;
        check_declared::<M::Event>(chart, "events", &file.events)?;
        let initial = resolve_name(chart, "state", &file.initial)?;
        let events = M::Event::NAMES.len();
        let mut table: Vec<Vec<Transition<M>>> = Vec::new();
        table.resize_with(M::State::NAMES.len() * events, Vec::new);
        for entry in &file.transition {
            add_transition(chart, entry, &mut table)?;
        }
        let ignored = ignored_pairs::<M>(chart, &file.ignored)?;
        check_complete::<M>(chart, &table, &ignored)?;
        check_reachable::<M>(chart, initial, &table)?;
        Ok(Self { initial, table })
    }

    /// State of a new instance.
    pub fn initial(&self) -> M::State {
        self.initial
    }

    /// Finds the first transition from `state` on `event` whose guard holds. Guards are evaluated in file order.
    pub fn step(
        &self,
        state: M::State,
        event: M::Event,
        mut guard_holds: impl FnMut(M::Guard) -> bool,
    ) -> Step<'_, M> {
        let row = &self.table[table_index::<M>(state, event)];
        let found = row
            .iter()
            .find(|transition| transition.guard.is_none_or(&mut guard_holds));
        match found {
            Some(transition) => Step {
                next: transition.to,
                actions: &transition.actions,
                taken: true,
            },
            None => Step {
                next: state,
                actions: &[],
                taken: false,
            },
        }
    }
}

fn table_index<M: Machine>(state: M::State, event: M::Event) -> usize {
    state.index() * M::Event::NAMES.len() + event.index()
}

fn resolve_name<V: Vocabulary>(
    chart: &str,
    kind: &'static str,
    name: &str,
) -> Result<V, ChartError> {
    V::from_name(name).context(chart_error::UnknownNameSnafu { chart, kind, name })
}

fn check_declared<V: Vocabulary>(
    chart: &str,
    kind: &'static str,
    declared: &[String],
) -> Result<(), ChartError> {
    for name in declared {
        resolve_name::<V>(chart, kind, name)?;
    }
    let missing = V::NAMES
        .iter()
        .find(|(name, _)| !declared.iter().any(|d| d == name));
    match missing {
        Some((name, _)) => chart_error::UndeclaredSnafu {
            chart,
            kind,
            name: *name,
        }
        .fail(),
        None => Ok(()),
    }
}

fn add_transition<M: Machine>(
    chart: &str,
    entry: &TransitionEntry,
    table: &mut [Vec<Transition<M>>],
) -> Result<(), ChartError> {
    for from in entry.from.as_slice() {
        for on in entry.on.as_slice() {
            let state = resolve_name::<M::State>(chart, "state", from)?;
            let event = resolve_name::<M::Event>(chart, "event", on)?;
            let guard = entry
                .guard
                .as_deref()
                .map(|name| resolve_name(chart, "guard", name))
                .transpose()?;
            let to = resolve_name(chart, "state", &entry.to)?;
            let actions = entry
                .actions
                .iter()
                .map(|name| resolve_name(chart, "action", name))
                .collect::<Result<Vec<_>, _>>()?;
            let row = &mut table[table_index::<M>(state, event)];
            if row
                .last()
                .is_some_and(|transition| transition.guard.is_none())
            {
                return chart_error::ShadowedSnafu {
                    chart,
                    state: from,
                    event: on,
                }
                .fail();
            }
            row.push(Transition { guard, to, actions });
        }
    }
    Ok(())
}

fn ignored_pairs<M: Machine>(
    chart: &str,
    entries: &[IgnoredEntry],
) -> Result<HashSet<usize>, ChartError> {
    let mut pairs = HashSet::new();
    for entry in entries {
        for state in entry.state.as_slice() {
            for event in &entry.events {
                let state = resolve_name::<M::State>(chart, "state", state)?;
                let event = resolve_name::<M::Event>(chart, "event", event)?;
                pairs.insert(table_index::<M>(state, event));
            }
        }
    }
    Ok(pairs)
}

fn check_complete<M: Machine>(
    chart: &str,
    table: &[Vec<Transition<M>>],
    ignored: &HashSet<usize>,
) -> Result<(), ChartError> {
    for (state_name, state) in M::State::NAMES {
        for (event_name, event) in M::Event::NAMES {
            let position = table_index::<M>(*state, *event);
            let handled = table[position]
                .last()
                .is_some_and(|transition| transition.guard.is_none());
            let ignored = ignored.contains(&position);
            if handled == ignored {
                return chart_error::UnhandledSnafu {
                    chart,
                    state: *state_name,
                    event: *event_name,
                }
                .fail();
            }
        }
    }
    Ok(())
}

fn check_reachable<M: Machine>(
    chart: &str,
    initial: M::State,
    table: &[Vec<Transition<M>>],
) -> Result<(), ChartError> {
    let mut reached = vec![initial];
    let mut next = 0;
    while let Some(state) = reached.get(next).copied() {
        next += 1;
        for (_, event) in M::Event::NAMES {
            for transition in &table[table_index::<M>(state, *event)] {
                if !reached.contains(&transition.to) {
                    reached.push(transition.to);
                }
            }
        }
    }
    match M::State::NAMES
        .iter()
        .find(|(_, state)| !reached.contains(state))
    {
        Some((name, _)) => chart_error::UnreachableSnafu {
            chart,
            state: *name,
        }
        .fail(),
        None => Ok(()),
    }
}
