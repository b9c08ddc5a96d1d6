//! The command line as a whole.

use bpaf::Bpaf;

use crate::{
    cmd::{Cmd, cmd},
    config::{Flags, flags},
};

/// Exit code for a command line, a setting or an object that is not valid.
pub const USAGE: u8 = 2;

/// Operates camphorwinch through the objects in its platform
///
///
/// Exit codes: 0 done; 1 failed; 2 the command line, a setting or an object is not valid; 3 conflict: the object was
/// changed by another writer; 4 not found; 5 the platform is not available, or the outcome of a write is unknown.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct App {
    /// Flags before the command; those after it come first.
    #[bpaf(external(flags))]
    pub flags: Flags,
    /// The command.
    #[bpaf(external(cmd))]
    pub cmd: Cmd,
}
