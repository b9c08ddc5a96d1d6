//! Settings, from flags and environment variables.

use std::{fmt, time::Duration};

use bpaf::Bpaf;
use http::Uri;

use crate::{error::Error, output::Format};

/// Variable with the platform's address.
pub const PLATFORM: &str = "CAMPHORWINCH_PLATFORM";
/// Variable with the timeout in seconds.
pub const TIMEOUT: &str = "CAMPHORWINCH_TIMEOUT";
/// Variable with the output format.
pub const OUTPUT: &str = "CAMPHORWINCH_OUTPUT";

/// Timeout when none is set.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest timeout that may be set.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Flags that every command takes.
#[derive(Clone, Debug, Default, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Flags {
    /// Address of the platform, as http://IP:PORT [CAMPHORWINCH_PLATFORM]
    #[bpaf(argument("URL"))]
    pub platform: Option<String>,
    /// How long to go on trying while the platform does not answer; 30 when not set [CAMPHORWINCH_TIMEOUT]
    #[bpaf(argument("SECONDS"))]
    pub timeout: Option<String>,
    /// Output format, table or json; table when not set [CAMPHORWINCH_OUTPUT]
    #[bpaf(argument("FORMAT"))]
    pub output: Option<String>,
}

/// A setting that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Flag and variable.
    pub name: String,
    /// The value, empty when missing.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?} is not valid; allowed: {}", self.name, self.value, self.allowed)
    }
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the platform.
    pub platform: Uri,
    /// How long to go on trying while the platform does not answer.
    pub timeout: Duration,
    /// Output format.
    pub format: Format,
}

impl Settings {
    /// Checks all settings: the first flag that is given counts, then the variable, then the default.
    pub fn new<F>(flags: &[&Flags], var: F) -> Result<Settings, Error>
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut faults = Vec::new();
        let pick = |flag: fn(&Flags) -> &Option<String>, name: &str| {
            flags.iter().find_map(|it| flag(it).clone()).or_else(|| var(name))
        };

        let text = pick(|it| &it.platform, PLATFORM).unwrap_or_default();
        let platform = parse_platform(&text);
        if platform.is_none() {
            faults.push(fault("--platform", PLATFORM, &text, "http://IP:PORT"));
        }

        let text = pick(|it| &it.timeout, TIMEOUT);
        let timeout = text.as_deref().map_or(Some(DEFAULT_TIMEOUT), parse_timeout);
        if timeout.is_none() {
            faults.push(fault("--timeout", TIMEOUT, &text.unwrap_or_default(), "0.1 to 86400"));
        }

        let format = format(flags, &var).map_err(|it| faults.push(it)).ok();

        match (platform, timeout, format) {
            (Some(platform), Some(timeout), Some(format)) => {
                Ok(Settings { platform, timeout, format })
            }
            _ => Err(Error::Settings(faults)),
        }
    }
}

/// Checks the output format alone, for commands that need no platform.
pub fn format<F>(flags: &[&Flags], var: F) -> Result<Format, Fault>
where
    F: Fn(&str) -> Option<String>,
{
    let text = flags.iter().find_map(|it| it.output.clone()).or_else(|| var(OUTPUT));
    let format = text.as_deref().map_or(Some(Format::Table), Format::parse);
    format.ok_or_else(|| {
        fault("--output", OUTPUT, text.as_deref().unwrap_or_default(), "table, json")
    })
}

fn fault(flag: &str, var: &str, value: &str, allowed: &'static str) -> Fault {
    Fault { name: format!("{flag} or {var}"), value: value.to_owned(), allowed }
}

fn parse_platform(text: &str) -> Option<Uri> {
    let uri: Uri = text.parse().ok()?;
    let plain = uri.scheme_str() == Some("http") && matches!(uri.path(), "" | "/");
    (plain && uri.query().is_none() && uri.port_u16().is_some_and(|port| port > 0)).then_some(uri)
}

fn parse_timeout(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let timeout = Duration::try_from_secs_f64(seconds).ok()?;
    (Duration::from_millis(100)..=MAX_TIMEOUT).contains(&timeout).then_some(timeout)
}
