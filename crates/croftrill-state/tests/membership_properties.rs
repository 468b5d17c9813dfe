//! Membership under arbitrary failures: once they end, all running nodes agree
//! on who runs.

mod membership_simulation;

use croftrill_state::membership::{Health, MembershipConfig};
use membership_simulation::{Network, Run, Simulation};
use proptest::prelude::*;

/// Enough for suspicion, and for a dead member to be tried again by somebody.
const SETTLE_MILLIS: u64 = 120_000;

#[derive(Clone, Debug)]
enum Fault {
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(Vec<u8>),
    Heal,
    Wait(u64),
}

fn fault(count: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => (0..count).prop_map(Fault::Crash),
        2 => (0..count).prop_map(Fault::Restart),
        2 => (0..count).prop_map(Fault::Pause),
        2 => (0..count).prop_map(Fault::Resume),
        1 => prop::collection::vec(0u8..3, count).prop_map(Fault::Partition),
        1 => Just(Fault::Heal),
        6 => (100u64..20_000).prop_map(Fault::Wait),
    ]
}

fn scenario() -> impl Strategy<Value = (usize, Vec<Fault>, Network, u64)> {
    (3usize..12).prop_flat_map(|count| {
        let faults = prop::collection::vec(fault(count), 0..25);
        let network =
            (0.0..0.15f64, 0.0..0.2f64, 1u64..150).prop_map(|(loss, duplicates, latency)| Network {
                loss,
                duplicates,
                latency_millis: (1, latency),
            });
        (Just(count), faults, network, any::<u64>())
    })
}

fn inflict(simulation: &mut Simulation, fault: Fault) {
    match fault {
        Fault::Crash(node) => simulation.crash(node),
        Fault::Restart(node) => {
            if simulation.nodes[node].run == Run::Crashed {
                simulation.restart(node);
            }
        }
        Fault::Pause(node) => simulation.pause(node),
        Fault::Resume(node) => simulation.resume(node),
        Fault::Partition(sides) => {
            for (node, side) in simulation.nodes.iter_mut().zip(sides) {
                node.side = side;
            }
        }
        Fault::Heal => simulation.nodes.iter_mut().for_each(|node| node.side = 0),
        Fault::Wait(millis) => simulation.run_for(millis),
    }
}

fn end_faults(simulation: &mut Simulation) {
    for node in 0..simulation.nodes.len() {
        simulation.nodes[node].side = 0;
        simulation.resume(node);
    }
    simulation.network = Network::good();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d65_6d62),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_agree_on_who_runs_after_the_faults((count, faults, network, seed) in scenario()) {
        let mut simulation = Simulation::new(count, MembershipConfig::default(), network, seed);
        for fault in faults {
            inflict(&mut simulation, fault);
        }
        end_faults(&mut simulation);
        simulation.run_for(SETTLE_MILLIS);
        let (crashed, running): (Vec<usize>, Vec<usize>) =
            (0..count).partition(|node| simulation.nodes[*node].run == Run::Crashed);
        prop_assert_eq!(simulation.disagreeing(&running, Health::Alive), vec![]);
        prop_assert_eq!(simulation.disagreeing(&crashed, Health::Dead), vec![]);
    }
}
