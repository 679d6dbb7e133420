//! The table of settings.

use super::Allowed;
use super::LogFormat;
use super::Secret;
use crate::clock::Millis;
use crate::gateway::settings::CallPlacement;
use crate::gateway::settings::OutputLengthSource;

/// One line of the table.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Text of the default; none: it must be given.
    pub default: Option<&'static str>,
    /// What it may be.
    pub allowed: Allowed,
    /// What it does.
    pub help: &'static str,
    /// Reads a text into the settings.
    pub(super) read: fn(&mut Settings, Allowed, &str) -> Result<(), String>,
}

macro_rules! settings {
    ($($section:literal $key:literal $field:ident: $type:ty = $default:expr,
        $reader:ident($allowed:expr), $help:literal;)*) => {
        /// Settings of one daemon.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub struct Settings {
            $(#[doc = $help] pub $field: $type,)*
        }

        /// All settings, in the order of the example file.
        pub const TABLE: &[Setting] = &[$(Setting {
            section: $section,
            key: $key,
            default: $default,
            allowed: $allowed,
            help: $help,
            read: |settings, allowed, text| {
                settings.$field = allowed.$reader(text)?;
                Ok(())
            },
        },)*];

        impl Settings {
            /// Returns settings in which nothing is set.
            fn unset() -> Settings {
                Settings {
                    $($field: Default::default(),)*
                }
            }

            /// Lists the settings that have other values in `other`.
            #[must_use]
            pub fn changed(&self, other: &Settings) -> Vec<&'static Setting> {
                let is_equal = [$(self.$field == other.$field,)*];
                let settings = TABLE.iter().zip(is_equal);
                settings
                    .filter(|(_, is_equal)| !is_equal)
                    .map(|(setting, _)| setting)
                    .collect()
            }
        }
    };
}

/// Bounds of a span, in milliseconds.
const fn span(min: u64, max: u64) -> Allowed {
    Allowed::Span { min, max }
}

const ADDRESS: Allowed = Allowed::Address { optional: false };
const SECOND: u64 = 1000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const YEAR: u64 = 365 * 24 * HOUR;
const MIB: u64 = 1024 * 1024;

settings! {
    "instance" "name" name: String = None, name(Allowed::Name),
        "Name of this instance, as in the instance list";
    "instance" "domain" domain: String = None, name(Allowed::Name),
        "Failure domain that this instance stands in";
    "callers" "listen" callers_listen: String = Some("127.0.0.1:8080"), address(ADDRESS),
        "Address on which callers are served";
    "callers" "max_open_requests" max_open_requests: u64 = Some("2000"),
        number(Allowed::Number { min: 1, max: 100_000 }),
        "Requests held open at once; further ones are refused";
    "callers" "max_body" max_body_bytes: u64 = Some("16 MiB"),
        size(Allowed::Size { min: 1024, max: 256 * MIB }),
        "Greatest length of a request's body";
    "callers" "body_time_limit" body_time_limit: Millis = Some("10 s"), span(span(100, 10 * MINUTE)),
        "Time within which a request's body has to arrive";
    "admin" "listen" admin_listen: String = Some("127.0.0.1:8081"), address(ADDRESS),
        "Address on which operators, health checks and metrics are served";
    "admin" "token_file" operators_token: Secret = None, secret(Allowed::SecretFile),
        "File with the operators' token";
    "peer" "listen" peer_listen: String = Some("127.0.0.1:8082"), address(ADDRESS),
        "Address on which other instances are served";
    "peer" "advertise" peer_advertise: String = Some(""), address(Allowed::Address { optional: true }),
        "Address that other instances are told; empty: the one listened on";
    "peer" "secret_file" peer_secret: Secret = None, secret(Allowed::SecretFile),
        "File with the secret that all instances share";
    "store" "addresses" store_addresses: Vec<String> = None, addresses(Allowed::Addresses),
        "Addresses of the platform's key-value service, tried in order";
    "store" "time_limit" store_time_limit: Millis = Some("2 s"), span(span(SECOND, MINUTE)),
        "Time limit of one call, rounded up to whole seconds; a watch gets its waiting time on top";
    "store" "watch_wait" store_watch_wait: Millis = Some("25 s"), span(span(SECOND, 5 * MINUTE)),
        "Time that a watch waits in the service";
    "store" "poll" store_poll: Millis = Some("30 s"), span(span(SECOND, HOUR)),
        "Mean period at which each instance looks at the declarations by itself";
    "list" "address" list_address: String = None, address(ADDRESS),
        "Address of the platform's instance list";
    "list" "poll" list_poll: Millis = Some("1 s"), span(span(100, 10 * MINUTE)),
        "Period at which the instance list is read";
    "list" "time_limit" list_time_limit: Millis = Some("2 s"), span(span(SECOND, MINUTE)),
        "Time limit of one reading, rounded up to whole seconds";
    "backend" "connect_time_limit" connect_time_limit: Millis = Some("1 s"), span(span(10, MINUTE)),
        "Time limit for a connection to a backend server";
    "backend" "order_time_limit" order_time_limit: Millis = Some("2 s"), span(span(100, MINUTE)),
        "Time limit of an order or a load report; a step of a gang has 30 s";
    "gateway" "listen" gateway_listen: String = Some(""), address(Allowed::Address { optional: true }),
        "Address on which HTTP requests are forwarded; given: the process is a gateway and needs no other listener";
    "gateway" "status_listen" gateway_status_listen: String = Some("127.0.0.1:8083"), address(ADDRESS),
        "Address at which the platform asks whether a gateway takes callers";
    "gateway" "metrics_listen" gateway_metrics_listen: String = Some(""), address(Allowed::Address { optional: true }),
        "Address on which a gateway's metrics are served; empty: with the status";
    "gateway" "peer_listen" gateway_peer_listen: String = Some("127.0.0.1:8084"), address(ADDRESS),
        "Address for datagrams of other gateways";
    "gateway" "store" gateway_store: String = Some(""), address(Allowed::Address { optional: true }),
        "Address of the platform's store; a gateway needs it";
    "gateway" "revoke_limit" gateway_revoke_limit: Millis = Some("5 s"), span(span(0, YEAR)),
        "Time after which a key that was taken away must not be used any more";
    "gateway" "config_limit" gateway_config_limit: Millis = Some("2 s"), span(span(0, YEAR)),
        "Time after which a change of the configuration has to be in force";
    "gateway" "retry_ratio" gateway_retry_ratio: u64 = Some("0.2"), ratio(Allowed::Ratio),
        "Retries for each request, over all gateways";
    "gateway" "retry_extra" gateway_retry_extra: u64 = Some("100"),
        limit(Allowed::Limit { min: 0, max: 1_000_000 }),
        "Retries beyond that ratio in its window, over all gateways";
    "gateway" "memory_free_limit" gateway_memory_free_limit: Millis = Some("4 s"), span(span(0, YEAR)),
        "Time after which memory reserved on an engine has to be free when nobody uses it";
    "gateway" "server_write_interval" gateway_server_write_interval: Millis = Some("1200 ms"), span(span(0, YEAR)),
        "Interval at which backend servers write their entries to the platform's store";
    "gateway" "memory_limit" gateway_memory_limit: u64 = Some("256 MiB"),
        size(Allowed::Size { min: 32 * MIB, max: 1024 * 1024 * MIB }),
        "Memory of the machine, over which the platform ends a gateway; what callers and servers make it hold is kept below";
    "gateway" "max_descriptors" gateway_max_descriptors: u64 = Some("4096"),
        number(Allowed::Number { min: 512, max: 10_000_000 }),
        "File descriptors that a gateway may have open";
    "gateway" "call_placement" gateway_call_placement: CallPlacement = Some("fewest_calls"),
        call_placement(Allowed::CallPlacement),
        "How the server of a call to a plain service is chosen";
    "gateway" "output_lengths" gateway_output_lengths: OutputLengthSource = Some("caller"),
        output_lengths(Allowed::OutputLengthSource),
        "Where the expected length of a prompt's output comes from: the caller, or the caller corrected by what was learned";
    "shutdown" "time_limit" shutdown_time_limit: Millis = Some("10 min"), span(span(0, YEAR)),
        "Time after which a graceful shutdown gives up waiting for admitted requests";
    "control" "tick" tick: Millis = Some("20 ms"), span(span(1, SECOND)),
        "Period at which the control thread looks at its timers";
    "control" "seed" seed: u64 = Some("0"), number(Allowed::Number { min: 0, max: u64::MAX }),
        "Seed of the random numbers; 0: from the operating system";
    "log" "format" log_format: LogFormat = Some("text"), log_format(Allowed::LogFormat),
        "How log lines are written to the standard output stream";
    "log" "level" log_filter: String = Some("info"), log_filter(Allowed::LogFilter),
        "Which log lines are written";
}

impl Default for Settings {
    /// Returns the defaults; what must be given is empty.
    fn default() -> Settings {
        let mut settings = Settings::unset();
        for setting in TABLE {
            let Some(text) = setting.default else {
                continue;
            };
            let read = (setting.read)(&mut settings, setting.allowed, text);
            debug_assert!(read.is_ok(), "default of {}", setting.key);
        }
        settings
    }
}
