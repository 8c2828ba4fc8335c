//! Standard output of the commands.

use std::{
    fmt::Arguments,
    io::{ErrorKind, Write as _},
    process,
};

/// Exit code of a command whose output can't be written.
const EXIT_OUTPUT_FAILED: i32 = 1;

/// Prints like [`print!`], but ends the process quietly if the reader has closed the pipe.
macro_rules! out {
    ($($args:tt)*) => {
        $crate::output::write(format_args!($($args)*))
    };
}

/// Prints like [`println!`], but ends the process quietly if the reader has closed the pipe.
macro_rules! outln {
    ($($args:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($args)*)))
    };
}

/// Writes to standard output. The process ends if it can't: with success if the reader has read enough.
pub(crate) fn write(text: Arguments<'_>) {
    let mut output = std::io::stdout().lock();
    let Err(fault) = output.write_fmt(text).and_then(|()| output.flush()) else {
        return;
    };
    if fault.kind() == ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("error: can't write to standard output: {fault}");
    process::exit(EXIT_OUTPUT_FAILED);
}
