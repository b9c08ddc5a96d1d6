//! Top-level command-line parser.

use bpaf::Bpaf;

use crate::{
    cmd::{Cmd, cmd},
    config::{Flags, flags},
};

/// Exit code for an invalid command line, setting or object.
pub const EXIT_USAGE: u8 = 2;

/// Manages camphorwinch through the objects in its platform
///
///
/// Exit codes: 0 success; 1 failure; 2 invalid command line, setting or object; 3 conflict: another writer changed the
/// object; 4 not found; 5 the platform is not available, or the outcome of a write is unknown.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct App {
    /// Flags before the command; flags after it override them.
    #[bpaf(external(flags))]
    pub flags: Flags,
    /// Subcommand to run.
    #[bpaf(external(cmd))]
    pub cmd: Cmd,
}
