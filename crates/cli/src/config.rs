//! Settings from flags and environment variables.

use std::{fmt, time::Duration};

use bpaf::Bpaf;
use http::Uri;

use crate::{error::Error, output::Format};

/// Environment variable for the platform's address.
pub const PLATFORM_VAR: &str = "CAMPHORWINCH_PLATFORM";
/// Environment variable for the timeout in seconds.
pub const TIMEOUT_VAR: &str = "CAMPHORWINCH_TIMEOUT";
/// Environment variable for the output format.
pub const OUTPUT_VAR: &str = "CAMPHORWINCH_OUTPUT";

/// Timeout of an operation unless a flag or variable sets one.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the timeout.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Flags of every command.
#[derive(Clone, Debug, Default, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Flags {
    /// Address of the platform, as http://IP:PORT [CAMPHORWINCH_PLATFORM]
    #[bpaf(argument("URL"))]
    pub platform: Option<String>,
    /// How long to retry while the platform does not respond; default 30 [CAMPHORWINCH_TIMEOUT]
    #[bpaf(argument("SECONDS"))]
    pub timeout: Option<String>,
    /// Output format, table or json; default table [CAMPHORWINCH_OUTPUT]
    #[bpaf(argument("FORMAT"))]
    pub output: Option<String>,
}

/// A setting that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Names of the flag and the environment variable.
    pub name: String,
    /// The rejected value, empty when missing.
    pub value: String,
    /// Allowed values.
    pub allowed: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: invalid value {:?}; allowed: {}", self.name, self.value, self.allowed)
    }
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the platform.
    pub platform: Uri,
    /// How long an operation is retried while the platform does not respond.
    pub timeout: Duration,
    /// Output format.
    pub format: Format,
}

impl Settings {
    /// Validates all settings. The first flag that is set wins, then the environment variable, then the default.
    pub fn new<F>(flags: &[&Flags], var: F) -> Result<Settings, Error>
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut invalid = Vec::new();
        let pick = |flag: fn(&Flags) -> &Option<String>, name: &str| {
            flags.iter().find_map(|it| flag(it).clone()).or_else(|| var(name))
        };

        let text = pick(|it| &it.platform, PLATFORM_VAR).unwrap_or_default();
        let platform = parse_platform(&text);
        if platform.is_none() {
            invalid.push(invalid_setting("--platform", PLATFORM_VAR, &text, "http://IP:PORT"));
        }

        let text = pick(|it| &it.timeout, TIMEOUT_VAR);
        let timeout = text.as_deref().map_or(Some(DEFAULT_TIMEOUT), parse_timeout);
        if timeout.is_none() {
            invalid.push(invalid_setting(
                "--timeout",
                TIMEOUT_VAR,
                &text.unwrap_or_default(),
                "0.1 to 86400",
            ));
        }

        let format = output_format(flags, &var).map_err(|it| invalid.push(it)).ok();

        match (platform, timeout, format) {
            (Some(platform), Some(timeout), Some(format)) => {
                Ok(Settings { platform, timeout, format })
            }
            _ => Err(Error::InvalidSettings(invalid)),
        }
    }
}

/// Validates only the output format, for commands that do not use the platform.
pub fn output_format<F>(flags: &[&Flags], var: F) -> Result<Format, InvalidSetting>
where
    F: Fn(&str) -> Option<String>,
{
    let text = flags.iter().find_map(|it| it.output.clone()).or_else(|| var(OUTPUT_VAR));
    let format = text.as_deref().map_or(Some(Format::Table), Format::parse);
    format.ok_or_else(|| {
        invalid_setting("--output", OUTPUT_VAR, text.as_deref().unwrap_or_default(), "table, json")
    })
}

fn invalid_setting(flag: &str, var: &str, value: &str, allowed: &'static str) -> InvalidSetting {
    InvalidSetting { name: format!("{flag} or {var}"), value: value.to_owned(), allowed }
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
