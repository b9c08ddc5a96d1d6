//! Tests of the binary against a fake platform.

mod fake_platform;
mod view;
mod write;
