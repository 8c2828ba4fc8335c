//! Simulated load on replicas of which one is slow, chosen by load or in turn.

use medlarpost_core::{
    prelude::*,
    replica_choice::{self, ReplicaLoad},
};

const REQUESTS: usize = 20_000;
/// Mean time between requests. In turn, the slow replica uses two thirds of its slots.
const MEAN_GAP_MICROS: u64 = 4_000;
/// Mean time to run a request on each replica. The last one is slow.
const SERVICE_MICROS: [u64; 3] = [6_000, 6_000, 24_000];
const SLOTS: usize = 3;

/// A replica with a number of slots and a first-in, first-out queue.
#[derive(Clone, Debug, Default)]
struct Replica {
    /// Time at which each slot becomes free, in microseconds.
    free_at: [u64; SLOTS],
    /// Ends of the requests in flight, in microseconds.
    ends: Vec<u64>,
    latency: Option<Duration>,
}

impl Replica {
    fn load_at(&self, now: u64) -> ReplicaLoad {
        ReplicaLoad {
            in_flight: self.ends.iter().filter(|end| **end > now).count() as u32,
            slots: SLOTS as u32,
            latency: self.latency,
            reported: None,
            same_zone: true,
        }
    }

    /// Runs a request that takes `time` and returns the time from `now` to its end.
    fn run(&mut self, now: u64, time: u64) -> u64 {
        self.ends.retain(|end| *end > now);
        let slot = self.free_at.iter_mut().min().expect("there are slots");
        *slot = (*slot).max(now) + time;
        self.ends.push(*slot);
        let total = *slot - now;
        let sample = Duration::from_micros(total);
        self.latency = Some((self.latency.unwrap_or(sample) * 7 + sample) / 8);
        total
    }
}

/// Reply times in ascending order, in microseconds.
fn simulate(mut choose: impl FnMut(usize, &[ReplicaLoad]) -> usize) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut replicas = vec![Replica::default(); SERVICE_MICROS.len()];
    let mut now = 0;
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        now += rng.u64(..2 * MEAN_GAP_MICROS);
        let loads: Vec<_> = replicas
            .iter()
            .map(|replica| replica.load_at(now))
            .collect();
        let chosen = choose(number, &loads);
        let time = rng.u64(SERVICE_MICROS[chosen] / 2..SERVICE_MICROS[chosen] * 3 / 2);
        times.push(replicas[chosen].run(now, time));
    }
    times.sort_unstable();
    times
}

fn quantile_ms(times: &[u64], share: f64) -> f64 {
    times[(times.len() as f64 * share) as usize] as f64 / 1_000.0
}

/// Guards against sending a slow replica as many requests as the others, so that it sets the tail latency.
#[test]
fn choice_by_load_halves_the_tail_latency_of_choice_in_turn() {
    let mut rng = fastrand::Rng::with_seed(3);

    let by_load =
        simulate(|_, loads| replica_choice::choose(loads, &mut rng).expect("there are replicas"));
    let in_turn = simulate(|number, loads| number % loads.len());

    let figures =
        [&by_load, &in_turn].map(|times| (quantile_ms(times, 0.5), quantile_ms(times, 0.99)));
    println!(
        "p50 and p99 in ms: by load {:?}, in turn {:?}",
        figures[0], figures[1]
    );
    assert!(figures[0].1 * 2.0 < figures[1].1, "{figures:?}");
}
