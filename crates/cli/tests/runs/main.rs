//! Runs of the built program against a fake of the platform.

mod fake;
mod view;
mod write;
