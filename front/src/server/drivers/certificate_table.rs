//! The certificates that TLS handshakes serve, by the host name in the client's SNI extension.
use cranesill_certs::{Identity, UnixTime};
use rustls::crypto::CryptoProvider;
use rustls::server::{NoServerSessionStorage, ProducesTickets, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::ServerConfig;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// ALPN protocol name (RFC 7301) of the binary client protocol. It is not registered with IANA.
pub const ALPN_BINARY: &[u8] = b"cranesill/1";
/// ALPN protocol name of ACME challenges (RFC 8737, section 6.2).
pub const ALPN_ACME: &[u8] = b"acme-tls/1";

/// A certificate that is served.
#[derive(Clone)]
pub struct ServedCertificate {
    /// TLS configuration that presents this certificate.
    pub config: Arc<ServerConfig>,
    /// Unix time of the last second at which the certificate is valid.
    pub not_after: UnixTime,
}

/// The certificates to serve, by host name.
#[derive(Default)]
pub struct CertificateTable {
    by_name: HashMap<String, ServedCertificate>,
    /// The certificate for clients without SNI.
    default: Option<ServedCertificate>,
}

/// A certificate that answers a tls-alpn-01 challenge (RFC 8737, section 3).
pub struct ChallengeCertificate(Arc<ServerConfig>);

/// Resolves to the same certificate for every client.
#[derive(Debug)]
struct FixedCertificate(Arc<CertifiedKey>);

impl ResolvesServerCert for FixedCertificate {
    fn resolve(&self, _: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

/// Builds a TLS configuration with one certificate and one ALPN protocol.
fn server_config(
    key: &Arc<CertifiedKey>,
    protocol: &[u8],
    tickets: Option<Arc<dyn ProducesTickets>>,
) -> Result<Arc<ServerConfig>, rustls::Error> {
    let provider: Arc<CryptoProvider> = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(FixedCertificate(Arc::clone(key))));
    config.alpn_protocols = vec![protocol.to_vec()];
    // Tickets only: a session cache would use memory for clients that are not connected.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    if let Some(tickets) = tickets {
        config.ticketer = tickets;
    }
    config.send_tls13_tickets = 1;
    Ok(Arc::new(config))
}

impl ChallengeCertificate {
    /// Builds the TLS configuration that presents `key`.
    pub fn new(key: &Arc<CertifiedKey>) -> Result<Self, rustls::Error> {
        server_config(key, ALPN_ACME, None).map(ChallengeCertificate)
    }

    /// Returns the TLS configuration of handshakes that validate the challenge.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.0)
    }
}

/// The identities of one configured certificate in order of preference, and the key of their session tickets.
struct CertificateGroup {
    served: Vec<(Identity, ServedCertificate)>,
    tickets: Arc<dyn ProducesTickets>,
}

/// Builds the table from the identities of each configured certificate. Session tickets stay valid across renewals, and are
/// invalidated together with a private key that is no longer trusted.
#[derive(Default)]
pub struct CertificateTableBuilder {
    groups: BTreeMap<String, CertificateGroup>,
}

impl CertificateTableBuilder {
    /// Replaces the identities of the certificate `id`, or removes it if there are none. `fresh_tickets` invalidates earlier
    /// session tickets.
    pub fn set(
        &mut self,
        id: &str,
        identities: &[Identity],
        fresh_tickets: bool,
    ) -> Result<(), rustls::Error> {
        if identities.is_empty() {
            self.groups.remove(id);
            return Ok(());
        }
        let earlier = self.groups.get(id).filter(|_| !fresh_tickets);
        let tickets = match earlier {
            Some(group) => Arc::clone(&group.tickets),
            None => rustls::crypto::ring::Ticketer::new()?,
        };
        let mut served = Vec::with_capacity(identities.len());
        for identity in identities {
            let tickets = Some(Arc::clone(&tickets));
            let certificate = ServedCertificate {
                config: server_config(&identity.certified, ALPN_BINARY, tickets)?,
                not_after: identity.not_after,
            };
            served.push((identity.clone(), certificate));
        }
        self.groups
            .insert(id.into(), CertificateGroup { served, tickets });
        Ok(())
    }

    /// Builds the current table. Clients without SNI are served the certificate `default`, or else the first one.
    pub fn build(&self, default: Option<&str>) -> Arc<CertificateTable> {
        let mut table = CertificateTable::default();
        for group in self.groups.values() {
            // In reverse order, so that the first identity that covers a name takes precedence.
            for (identity, served) in group.served.iter().rev() {
                for name in &identity.names {
                    table.by_name.insert(name.clone(), served.clone());
                }
            }
        }
        let group = default
            .and_then(|id| self.groups.get(id))
            .or_else(|| self.groups.values().next());
        table.default = group
            .and_then(|group| group.served.first())
            .map(|(_, served)| served.clone());
        Arc::new(table)
    }
}

impl CertificateTable {
    /// Returns the number of host names.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is a certificate for clients without SNI.
    pub fn has_default(&self) -> bool {
        self.default.is_some()
    }

    /// Returns the certificate for a host name, by an exact or a wildcard match, or the default one without a name.
    pub fn find(&self, name: Option<&str>) -> Option<&ServedCertificate> {
        let Some(name) = name else {
            return self.default.as_ref();
        };
        let name = name.to_ascii_lowercase();
        self.by_name
            .get(&name)
            .or_else(|| self.find_wildcard(&name))
    }

    fn find_wildcard(&self, name: &str) -> Option<&ServedCertificate> {
        let (_, parent) = name.split_once('.')?;
        self.by_name.get(&format!("*.{parent}"))
    }
}
