//! Dispatches to the command that the command line names.

use crate::{
    bundle_command,
    ctl_error::CtlError,
    demo_command, explain_command, fake_commands,
    flags::{MeasureControl, Medlarctl, MedlarctlCmd},
    keys_command, load_command,
    measure_control::{self, ControlOptions},
    soak_command, status_command, where_command,
};
use std::{process::ExitCode, time::Duration};

/// Runs the command of the command line. Returns the exit code: 0 for success, 1 for an error or a violated invariant,
/// 2 for a command line that can't be used.
pub fn run() -> ExitCode {
    let flags = Medlarctl::from_env_or_exit();
    let result = match flags.subcommand {
        MedlarctlCmd::Demo(demo) => demo_command::run(&demo),
        MedlarctlCmd::Explain(explain) => explain_command::run(&explain),
        MedlarctlCmd::Soak(soak) => soak_command::run(&soak),
        MedlarctlCmd::StandInStore(flags) => soak_command::run_store(&flags),
        MedlarctlCmd::StandInUpstream(flags) => soak_command::run_upstream(&flags),
        MedlarctlCmd::SoakGuard(_) => {
            soak_command::run_guard();
            Ok(())
        }
        MedlarctlCmd::FakePlatform(flags) => fake_commands::run_platform(&flags),
        MedlarctlCmd::FakeUpstream(flags) => fake_commands::run_upstream(&flags),
        MedlarctlCmd::MeasureControl(flags) => run_measure_control(&flags),
        MedlarctlCmd::Keys(keys) => keys_command::run(&keys),
        MedlarctlCmd::Load(load) => load_command::run(&load),
        MedlarctlCmd::Status(status) => status_command::run(&status),
        MedlarctlCmd::Where(flags) => where_command::run(&flags),
        MedlarctlCmd::Bundle(bundle) => bundle_command::run(&bundle),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_measure_control(flags: &MeasureControl) -> Result<(), CtlError> {
    let options = ControlOptions {
        nodes: flags.nodes.unwrap_or(4),
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        changes: flags.changes.unwrap_or(20),
    };
    out!("{}", measure_control::run(options)?);
    Ok(())
}
