//! Guards against faults that the command line can't name or that have no default run time.

use medlarctl::Fault;
use medlarpost_core::prelude::Vocabulary as _;

#[test]
fn every_fault_is_found_by_its_name_and_has_a_default_run_time() {
    let names = Fault::names();

    let found: Vec<_> = names.split(", ").filter_map(Fault::from_name).collect();

    assert_eq!(found.len(), Fault::NAMES.len());
    assert!(found.iter().all(|fault| fault.default_seconds() > 0));
}
