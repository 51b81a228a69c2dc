//! Entry point of the command-line tool `pollenpin`.

use std::io::Write as _;
use std::process::ExitCode;

use clap::Parser;
use cli::args::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    let exit_status = match cli::run(&args) {
        Ok(report) => {
            let text = if args.json {
                format!("{:#}\n", report.json)
            } else {
                report.text
            };
            // A closed pipe, such as with `| head`, is not an error.
            let _ = std::io::stdout().write_all(text.as_bytes());
            report.exit_status
        }
        Err(error) => {
            if args.json {
                let _ = writeln!(std::io::stdout(), "{:#}", error.to_json());
            }
            let _ = writeln!(std::io::stderr(), "pollenpin: {error}");
            error.exit_status()
        }
    };
    ExitCode::from(exit_status as u8)
}
