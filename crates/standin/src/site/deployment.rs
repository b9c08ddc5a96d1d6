//! Deployments that can be started.

use std::str::FromStr;

use camphorwinch_core::object::Policy;

/// Name of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Savings accounts, four zones.
    Sparibaukur,
    /// Drain clearing, three zones.
    Bexley,
}

impl FromStr for Name {
    type Err = String;

    fn from_str(s: &str) -> Result<Name, String> {
        match s {
            "sparibaukur" => Ok(Name::Sparibaukur),
            "bexley" => Ok(Name::Bexley),
            _ => Err(format!("unknown deployment {s:?}; expected sparibaukur or bexley")),
        }
    }
}

/// Shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Region of all zones.
    pub region: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Services.
    pub services: &'static [Service],
    /// Concurrent requests per upstream.
    pub slots: u32,
    /// Connection limit per upstream.
    pub connections: u32,
}

/// A service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service and of its pool.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Load balancing policy.
    pub policy: Policy,
    /// Fraction of the total load on this service.
    pub load_share: f64,
    /// Shares of screens, feeds, uploads and transfers.
    pub shares: [f64; 4],
}

static SPARIBAUKUR: Deployment = Deployment {
    region: "reykjavik",
    zones: &["rvk-a", "rvk-b", "rvk-c", "rvk-d"],
    services: &[
        Service {
            name: "ledger",
            upstreams: 7,
            policy: Policy::Steady,
            load_share: 0.7,
            shares: [0.6, 0.05, 0.0, 0.35],
        },
        Service {
            name: "intake",
            upstreams: 4,
            policy: Policy::Steady,
            load_share: 0.3,
            shares: [0.4, 0.0, 0.5, 0.1],
        },
    ],
    slots: 7,
    connections: 2_000,
};

static BEXLEY: Deployment = Deployment {
    region: "central-texas",
    zones: &["atx-a", "atx-b", "atx-c"],
    services: &[
        Service {
            name: "dispatch",
            upstreams: 7,
            policy: Policy::Even,
            load_share: 0.7,
            shares: [0.45, 0.2, 0.0, 0.35],
        },
        Service {
            name: "photos",
            upstreams: 3,
            policy: Policy::Even,
            load_share: 0.3,
            shares: [0.4, 0.0, 0.5, 0.1],
        },
    ],
    slots: 3,
    connections: 2_000,
};

impl Deployment {
    /// The deployment with this name.
    pub fn new(name: Name) -> &'static Deployment {
        match name {
            Name::Sparibaukur => &SPARIBAUKUR,
            Name::Bexley => &BEXLEY,
        }
    }
}
