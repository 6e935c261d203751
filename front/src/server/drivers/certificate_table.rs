//! Which certificate stands for which name in handshakes.
use cranesill_certs::{Identity, Wall};
use rustls::crypto::CryptoProvider;
use rustls::server::{NoServerSessionStorage, ProducesTickets, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::ServerConfig;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The binary protocol (our own name).
pub const BINARY: &[u8] = b"cranesill/1";
/// RFC 8737, section 6.2.
pub const ACME: &[u8] = b"acme-tls/1";
/// A certificate and what handshakes with it are made by.
#[derive(Clone)]
pub struct Served {
    /// How handshakes are made.
    pub config: Arc<ServerConfig>,
    /// Until when it holds.
    pub not_after: Wall,
}

/// Which certificate stands for which name.
#[derive(Default)]
pub struct Table {
    names: HashMap<String, Served>,
    /// For clients that name none.
    default: Option<Served>,
}

/// What shows control of a name (RFC 8737, section 3).
pub struct Proof(Arc<ServerConfig>);

#[derive(Debug)]
struct One(Arc<CertifiedKey>);

impl ResolvesServerCert for One {
    fn resolve(&self, _: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

fn config(
    key: &Arc<CertifiedKey>,
    protocol: &[u8],
    tickets: Option<Arc<dyn ProducesTickets>>,
) -> Result<Arc<ServerConfig>, String> {
    let provider: Arc<CryptoProvider> = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(One(Arc::clone(key))));
    config.alpn_protocols = vec![protocol.to_vec()];
    // Resumption by tickets alone: nothing is kept here for clients that are not connected.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    if let Some(tickets) = tickets {
        config.ticketer = tickets;
    }
    config.send_tls13_tickets = 1;
    Ok(Arc::new(config))
}

impl Proof {
    /// From a certificate made for a challenge.
    pub fn new(key: &Arc<CertifiedKey>) -> Result<Proof, String> {
        config(key, ACME, None).map(Proof)
    }

    /// What a handshake is made with that asks for it.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.0)
    }
}

/// A certificate's identities, in order, with the tickets that are good for them.
struct Group {
    served: Vec<(Identity, Served)>,
    tickets: Arc<dyn ProducesTickets>,
}

/// Makes tables out of what is served for each certificate. Tickets outlive a renewal, since what they vouch for
/// still holds, and end with a key that must not be trusted any more.
#[derive(Default)]
pub struct Tables {
    groups: BTreeMap<String, Group>,
}

impl Tables {
    /// Takes over what is served for a certificate.
    pub fn set(&mut self, id: &str, all: &[Identity], fresh_tickets: bool) -> Result<(), String> {
        if all.is_empty() {
            self.groups.remove(id);
            return Ok(());
        }
        let old = self
            .groups
            .get(id)
            .filter(|_| !fresh_tickets)
            .map(|g| Arc::clone(&g.tickets));
        let tickets = match old {
            Some(tickets) => tickets,
            None => rustls::crypto::ring::Ticketer::new().map_err(|e| e.to_string())?,
        };
        let served = all.iter().map(|identity| {
            let config = config(&identity.certified, BINARY, Some(Arc::clone(&tickets)))?;
            Ok((
                identity.clone(),
                Served {
                    config,
                    not_after: identity.not_after,
                },
            ))
        });
        let served = served.collect::<Result<_, String>>()?;
        self.groups.insert(id.into(), Group { served, tickets });
        Ok(())
    }

    /// The table as it is now; the first name of the first certificate is the one for clients that name none.
    pub fn table(&self, first: Option<&str>) -> Arc<Table> {
        let mut table = Table::default();
        for group in self.groups.values() {
            // The first that covers a name stands for it: the later ones go in before it.
            for (identity, served) in group.served.iter().rev() {
                for name in &identity.names {
                    table.names.insert(name.clone(), served.clone());
                }
            }
        }
        let group = first
            .and_then(|id| self.groups.get(id))
            .or_else(|| self.groups.values().next());
        table.default = group
            .and_then(|g| g.served.first())
            .map(|(_, served)| served.clone());
        Arc::new(table)
    }
}

impl Table {
    /// How many names it has.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether it has a certificate for clients that name none.
    pub fn any(&self) -> bool {
        self.default.is_some()
    }

    /// What stands for a name.
    pub fn find(&self, name: Option<&str>) -> Option<&Served> {
        let Some(name) = name else {
            return self.default.as_ref();
        };
        let name = name.to_ascii_lowercase();
        let wild = || {
            name.split_once('.')
                .and_then(|(_, rest)| self.names.get(&format!("*.{rest}")))
        };
        self.names.get(&name).or_else(wild)
    }
}
