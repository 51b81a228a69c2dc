//! Command-line arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use ids::{DomainName, FlowId, ServiceName};

const EXIT_CODES_HELP: &str = "Exit codes:\n  0  fine\n  1  findings\n  \
                               2  usage, or a file cannot be read or written\n  \
                               3  an instance cannot be reached";

/// Check, compare and publish documents, and look at running instances.
#[derive(Debug, Parser)]
#[command(name = "pollenpin", version, after_help = EXIT_CODES_HELP)]
pub struct Args {
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check settings, documents, configurations and instance lists.
    ///
    /// Every problem is printed with its file, line, section, key, value and what was expected. In
    /// the JSON configuration of steering daemons, errors and warnings are printed with file and
    /// field: what cannot be decoded, routes that never match, limits that contradict each other,
    /// services that no route uses and routes whose service is missing. Both count as findings.
    #[command(after_long_help = "Examples:\n  pollenpin check document.ini\n  \
                                 pollenpin check pollenpind.ini document.ini\n  \
                                 pollenpin check --kind settings a1.conf\n  \
                                 pollenpin check configuration.json")]
    Check {
        /// Files to check.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Kind of the files; told from their sections when it is not given.
        #[arg(long)]
        kind: Option<FileKind>,
    },
    /// Show what a new document or configuration changes.
    ///
    /// Warnings, such as a target that is removed without having been drained, count as findings.
    /// The last table estimates per service which share of flows placed by hash goes elsewhere.
    ///
    /// Of JSON configurations of steering daemons, it shows routes, services and limits that are
    /// added, removed or changed. Entries that are no longer served and a version that is not
    /// greater count as findings. An instance tells only the version in force.
    #[command(
        after_long_help = "Examples:\n  pollenpin diff document.ini new.ini\n  \
                                 pollenpin --json diff document.ini new.ini\n  \
                                 pollenpin diff configuration.json new.json\n  \
                                 pollenpin diff 127.0.0.1:7720 new.json"
    )]
    Diff {
        /// File in force, or the metrics address of a steering daemon.
        #[arg(value_parser = clap::value_parser!(Baseline))]
        old: Baseline,
        /// File to be published.
        new: PathBuf,
        /// Time that an instance has to answer, in milliseconds.
        #[arg(long, default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        wait_ms: u64,
    },
    /// Write the values of a document that are to be published.
    ///
    /// Writes `part/<hash>` for each page, part and the common part, then `root`. Publish them in
    /// this order: a root counts only when its parts can be read.
    #[command(
        after_long_help = "Examples:\n  pollenpin pack document.ini --out publish\n  \
                                 pollenpin pack document.ini --out publish --pages 12"
    )]
    Pack {
        /// Document to be published.
        file: PathBuf,
        /// Directory for the values; created when it does not exist.
        #[arg(long)]
        out: PathBuf,
        /// Number of pages; the rounded-up square root of the number of services by default.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=4096))]
        pages: Option<u16>,
    },
    /// Show the status of running instances.
    ///
    /// Findings are instances that are not ready, documents that differ between instances, version
    /// conflicts and peers that cannot be reached.
    #[command(after_long_help = "Examples:\n  pollenpin status 127.0.0.1:7403\n  \
                                 pollenpin status --details 127.0.0.1:7403 127.0.0.1:7413\n  \
                                 pollenpin --json status 127.0.0.1:7403")]
    Status {
        /// HTTP addresses of instances.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Show targets and peers as each instance sees them.
        #[arg(long)]
        details: bool,
        /// Time that an instance has to answer, in milliseconds.
        #[arg(long, default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        wait_ms: u64,
    },
    /// Explain on which target a flow is placed.
    ///
    /// This is the placement by hash under one document, with every target up. An instance may
    /// place elsewhere when a target is down, or by load when the caller echoes route tokens.
    #[command(after_long_help = "Examples:\n  \
        pollenpin route --document document.ini --service rates --flow 1f3a --domain a")]
    Route {
        /// Document under which the flow is placed.
        #[arg(long)]
        document: PathBuf,
        /// Service of the flow.
        #[arg(long)]
        service: ServiceName,
        /// Flow id in hexadecimal digits.
        #[arg(long)]
        flow: FlowId,
        /// Failure domain of the caller.
        #[arg(long)]
        domain: Option<DomainName>,
    },
    /// Show what steering daemons believe of their targets.
    ///
    /// Findings are daemons that are not ready, configurations that differ, views that are old, and
    /// targets that a daemon passes over.
    #[command(after_long_help = "Example:\n  pollenpin steering 10.1.0.10:7720 10.1.0.11:7720")]
    Steering {
        /// Metrics addresses of daemons.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Time that a daemon has to answer, in milliseconds.
        #[arg(long, default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        wait_ms: u64,
    },
    /// Tell the story of one flow from the log lines of steering daemons.
    ///
    /// Lines of all files are put in order by the revision of the view, which all instances share,
    /// so clocks that differ do no harm. What stands before the JSON of a line is passed over.
    #[command(after_long_help = "Examples:\n  \
        pollenpin explain 100.64.0.7:40001 a1.log a2.log\n  \
        pollenpin explain 100.64.0.7:40001 < all.log")]
    Explain {
        /// Part of the flow's name, such as the caller's address and port.
        flow: String,
        /// Files with log lines; `-` or none stands for standard input.
        files: Vec<PathBuf>,
    },
    /// Print a completion script for a shell.
    #[command(after_long_help = "Example:\n  pollenpin completion bash > pollenpin.bash")]
    Completion {
        /// The shell.
        shell: Shell,
    },
}

/// Kind of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FileKind {
    /// Settings of a daemon.
    Settings,
    /// The operators' document.
    Document,
    /// A list of instances.
    Instances,
    /// Settings of a steering daemon, in the platform's format.
    Steering,
    /// The configuration that operators publish for steering daemons, in the platform's format.
    Configuration,
}

/// What a new configuration or document is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Baseline {
    /// A file.
    File(PathBuf),
    /// The configuration in force on an instance, of which only the version can be asked.
    Instance(SocketAddr),
}

/// An address is never taken for a file; a file of such a name can be written as `./NAME`.
impl From<OsString> for Baseline {
    fn from(text: OsString) -> Self {
        let address = text.to_str().and_then(|text| text.parse().ok());
        address.map_or_else(|| Self::File(text.into()), Self::Instance)
    }
}
