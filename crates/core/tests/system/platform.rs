//! Simulated platform with versions, conditional writes, a watch history and outages.

use std::collections::{BTreeMap, VecDeque};

use camphorwinch_core::{
    lease::{LEASES_PER_ZONE, LeaseTerm, LeaseWrite},
    object::{Kind, Object},
    record::Record,
};
use serde_json::{Value, json};

pub(crate) const ADDRESSES: [&str; 2] = ["10.1.0.1:443", "10.1.0.2:443"];

/// A conditional write.
#[derive(Clone, Debug)]
pub(crate) enum Write {
    Lease(LeaseWrite),
}

/// A write in flight: arrival time, index and incarnation of the writer, write.
type Pending = (u64, usize, u64, Write);

pub(crate) struct Platform {
    pub(crate) revision: u64,
    pub(crate) down_until: u64,
    pub(crate) disturbed_until: u64,
    pub(crate) pending: Vec<Pending>,
    /// When a drain of an agent was accepted.
    pub(crate) drains: BTreeMap<String, u64>,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Record>,
    conditional: bool,
    former: BTreeMap<u8, VecDeque<LeaseTerm>>,
    epoch: u8,
}

impl Platform {
    pub(crate) fn new(conditional: bool) -> Platform {
        Platform {
            revision: 0,
            down_until: 0,
            disturbed_until: 0,
            pending: Vec::new(),
            drains: BTreeMap::new(),
            objects: BTreeMap::new(),
            events: Vec::new(),
            conditional,
            former: BTreeMap::new(),
            epoch: 1,
        }
    }

    pub(crate) fn seed_objects(&mut self) {
        for (name, address) in ["ledger", "intake"].iter().zip(ADDRESSES) {
            let spec = json!({ "address": address, "pool": "ledger", "certificate": "c" });
            self.put(Kind::Service, name, spec);
        }
        self.put_keys(&[1], 1);
    }

    pub(crate) fn put(&mut self, kind: Kind, name: &str, spec: Value) -> Object {
        self.revision += 1;
        let object = Object {
            kind: kind.to_string(),
            name: name.to_owned(),
            version: self.revision,
            writer: String::new(),
            spec,
        };
        self.objects.insert((kind.to_string(), name.to_owned()), object.clone());
        if Kind::CONFIG.contains(&kind) {
            self.events.push(Record::Object { kind, object: object.clone() });
        }
        object
    }

    fn delete(&mut self, kind: Kind, name: &str) {
        self.revision += 1;
        self.objects.remove(&(kind.to_string(), name.to_owned()));
        self.events.push(Record::Deleted { kind, name: name.to_owned(), revision: self.revision });
    }

    pub(crate) fn list(&self, kind: Kind) -> Vec<Object> {
        let objects = self.objects.values().filter(|it| it.kind == kind.as_str());
        objects.cloned().collect()
    }

    pub(crate) fn since(&self, revision: u64) -> Vec<Record> {
        self.events.iter().filter(|it| it.version().major > revision).cloned().collect()
    }

    fn is_down(&self, now: u64) -> bool {
        self.down_until > now
    }

    pub(crate) fn toggle_drain(&mut self, agent: &str, now: u64) {
        if self.is_down(now) {
            return;
        }
        let name = format!("drain-{agent}");
        if self.drains.remove(agent).is_some() {
            self.delete(Kind::Change, &name);
        } else if self.drains.len() < 2 {
            let spec = json!({ "action": "drain", "target": { "upstream": agent } });
            self.put(Kind::Change, &name, spec);
            self.drains.insert(agent.to_owned(), now);
        }
    }

    /// Sets a new weight of an agent.
    pub(crate) fn set_weight(&mut self, agent: &str, now: u64) {
        if self.is_down(now) {
            return;
        }
        let mut spec = self.spec("ledger");
        spec["weights"] = json!({ agent: 0.5 + (now % 10) as f64 });
        self.put(Kind::Service, "ledger", spec);
    }

    /// Swaps the addresses of two services by way of a third address.
    pub(crate) fn swap_addresses(&mut self) {
        let (mut first, mut second) = (self.spec("ledger"), self.spec("intake"));
        let (one, two) = (first["address"].clone(), second["address"].clone());
        first["address"] = json!("10.1.0.9:443");
        self.put(Kind::Service, "ledger", first.clone());
        second["address"] = one;
        self.put(Kind::Service, "intake", second);
        first["address"] = two;
        self.put(Kind::Service, "ledger", first);
    }

    fn spec(&self, name: &str) -> Value {
        let key = ("service".to_owned(), name.to_owned());
        self.objects.get(&key).map(|it| it.spec.clone()).unwrap_or_default()
    }

    /// Publishes the next key with one change and makes it the sealing key with the next.
    pub(crate) fn rotate_keys(&mut self) {
        let known = self.objects.get(&("keys".to_owned(), "fleet".to_owned()));
        let keys = known.and_then(|it| it.spec["keys"].as_array().cloned()).unwrap_or_default();
        let seals = keys.iter().any(|it| it["epoch"] == self.epoch && it["use"] == "seal");
        if seals {
            self.epoch += 1;
            let epochs: Vec<u8> = (1..=self.epoch).collect();
            self.put_keys(&epochs, self.epoch - 1);
        } else {
            let epochs: Vec<u8> = (1..=self.epoch).collect();
            self.put_keys(&epochs, self.epoch);
        }
    }

    fn put_keys(&mut self, epochs: &[u8], seal: u8) {
        let secret = |epoch: u8| {
            // 32 bytes in base64: 42 digits, a last digit and padding.
            let letter = char::from(b'A' + epoch % 26);
            format!("{}A=", letter.to_string().repeat(42))
        };
        let mut keys = Vec::new();
        for &epoch in epochs {
            let usage = if epoch == seal { "seal" } else { "open" };
            keys.push(json!({ "epoch": epoch, "secret": secret(epoch), "use": usage }));
        }
        self.put(Kind::Keys, "fleet", json!({ "reset": secret(0), "keys": keys }));
    }

    pub(crate) fn term(object: &Object) -> LeaseTerm {
        let holder = object.spec["holder"].as_str().unwrap_or_default().to_owned();
        LeaseTerm { holder, acquired_ms: object.spec["taken"].as_u64().unwrap_or(0) }
    }

    pub(crate) fn leases(&self) -> Vec<(u8, u64, LeaseTerm)> {
        let lease = |number: u8| {
            let object = self.objects.get(&("lease".to_owned(), format!("seed-{number}")));
            object.map_or((number, 0, LeaseTerm::default()), |it| {
                (number, it.version, Self::term(it))
            })
        };
        (0..LEASES_PER_ZONE).map(lease).collect()
    }

    /// Returns whether the write was accepted, and the stored object.
    pub(crate) fn write(&mut self, write: &Write) -> (bool, Object) {
        let Write::Lease(attempt) = write;
        let name = format!("seed-{}", attempt.number);
        let old = self.objects.get(&("lease".to_owned(), name.clone())).cloned();
        let version = old.as_ref().map_or(0, |it| it.version);
        if let Some(old) =
            old.as_ref().filter(|_| self.conditional && version != attempt.expected_version)
        {
            return (false, old.clone());
        }
        if let Some(old) = old {
            let (term, former) = (Self::term(&old), self.former.entry(attempt.number).or_default());
            if term != attempt.term {
                former.push_back(term);
            }
        }
        let spec = json!({ "holder": attempt.term.holder, "taken": attempt.term.acquired_ms });
        (true, self.put(Kind::Lease, &name, spec))
    }

    /// Whether the accepted write belongs to a term that had already ended.
    pub(crate) fn is_by_former_holder(&self, write: &Write) -> bool {
        let Write::Lease(attempt) = write;
        self.former.get(&attempt.number).is_some_and(|it| it.contains(&attempt.term))
    }
}
