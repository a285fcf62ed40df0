//! Keys of the fleet: the certificate authority, node certificates, and the TLS configuration of links.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose,
};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use snafu::Snafu;
use time::OffsetDateTime;

use super::accept::STREAMS_INITIAL;
use super::message::ALPN;
use crate::code::Code;

/// Time after which an unused link is closed. Links send no keep-alive packets, which would cost bytes for every pair
/// of nodes. Requests that wait for a reply detect an unresponsive peer instead (see [`super::peer`]).
pub const IDLE_MS: u32 = 30_000;
/// Receive buffer for datagrams, which are empty and only make a peer send an acknowledgement.
const DATAGRAM_BYTES: usize = 1_024;
/// Bytes of one stream that may be in flight.
pub const STREAM_WINDOW_BYTES: u32 = 1_048_576;
/// Validity period of a node certificate.
pub const CERTIFICATE_DAYS: i64 = 365;
/// Remaining validity below which a certificate is reported as expiring.
pub const EXPIRY_WARNING_DAYS: i64 = 30;

/// Error of generating, reading or using keys.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A certificate or key is not valid.
    #[snafu(display("{}: {reason}", path.display()))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        reason: String,
    },
}

impl KeyError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::File { .. } => Code::FileUnreadable,
            Self::Invalid { .. } => Code::KeyInvalid,
        }
    }
}

fn invalid(path: &Path, reason: &dyn std::fmt::Display) -> KeyError {
    KeyError::Invalid { path: path.to_owned(), reason: reason.to_string() }
}

fn read(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|source| KeyError::File { path: path.to_owned(), source })
}

fn write(path: &Path, text: &str, secret: bool) -> Result<(), KeyError> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mode = if secret { 0o600 } else { 0o644 };
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|source| KeyError::File { path: path.to_owned(), source })
}

/// Creates the certificate authority of the fleet: `ca.pem` and `ca.key`.
///
/// # Errors
///
/// Returns an error if a file already exists or cannot be written.
pub fn make_authority(dir: &Path) -> Result<(), KeyError> {
    fs::create_dir_all(dir).map_err(|source| KeyError::File { path: dir.to_owned(), source })?;
    let path = dir.join("ca.pem");
    let key = KeyPair::generate().map_err(|error| invalid(&path, &error))?;
    let mut params = dated(CertificateParams::default(), 10 * CERTIFICATE_DAYS);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, "valetrack authority");
    let certificate = params.self_signed(&key).map_err(|error| invalid(&path, &error))?;
    write(&dir.join("ca.key"), &key.serialize_pem(), true)?;
    write(&path, &certificate.pem(), false)
}

/// Creates the certificate of a node, signed by the authority in the same folder.
///
/// # Errors
///
/// Returns an error if the authority cannot be read, or a file already exists or cannot be written.
pub fn make_node(dir: &Path, vm: &str) -> Result<(), KeyError> {
    let ca_path = dir.join("ca.pem");
    let ca_key_path = dir.join("ca.key");
    let ca_key = KeyPair::from_pem(&read(&ca_key_path)?).map_err(|error| invalid(&ca_key_path, &error))?;
    let issuer = Issuer::from_ca_cert_pem(&read(&ca_path)?, ca_key).map_err(|error| invalid(&ca_path, &error))?;
    let path = dir.join(format!("{vm}.pem"));
    let params = CertificateParams::new(vec![vm.to_owned()]).map_err(|error| invalid(&path, &error))?;
    let mut params = dated(params, CERTIFICATE_DAYS);
    params.distinguished_name.push(DnType::CommonName, vm);
    params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(|error| invalid(&path, &error))?;
    let certificate = params.signed_by(&key, &issuer).map_err(|error| invalid(&path, &error))?;
    write(&dir.join(format!("{vm}.key")), &key.serialize_pem(), true)?;
    write(&path, &certificate.pem(), false)
}

fn dated(mut params: CertificateParams, days: i64) -> CertificateParams {
    let now = OffsetDateTime::now_utc();
    // The certificate is valid from one hour ago, because the clocks of VMs differ slightly.
    params.not_before = now - time::Duration::hours(1);
    params.not_after = now + time::Duration::days(days);
    params
}

/// Expiry of a certificate.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Expiry {
    /// File name.
    pub file: String,
    /// Days until the certificate expires; negative after that.
    pub days_left: i64,
}

/// Returns the expiry of every certificate in a folder, the earliest first.
///
/// # Errors
///
/// Returns an error if the folder or a certificate cannot be read.
pub fn expiries(dir: &Path) -> Result<Vec<Expiry>, KeyError> {
    let entries = fs::read_dir(dir).map_err(|source| KeyError::File { path: dir.to_owned(), source })?;
    let mut found = Vec::new();
    for entry in entries.flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|extension| extension != "pem") {
            continue;
        }
        let der = CertificateDer::from_pem_file(&path).map_err(|error| invalid(&path, &error))?;
        let (_, certificate) = x509_parser::parse_x509_certificate(&der).map_err(|error| invalid(&path, &error))?;
        let left_s = certificate.validity().not_after.timestamp() - OffsetDateTime::now_utc().unix_timestamp();
        let file = entry.file_name().to_string_lossy().into_owned();
        found.push(Expiry { file, days_left: left_s.div_euclid(86_400) });
    }
    found.sort_by(|a, b| (a.days_left, &a.file).cmp(&(b.days_left, &b.file)));
    Ok(found)
}

/// TLS configuration of links.
#[derive(Debug, Clone)]
pub struct LinkTls {
    /// Configuration of links that other nodes open.
    pub server: ServerConfig,
    /// Configuration of links that this node opens.
    pub client: ClientConfig,
}

/// Reads the keys of a node and returns the TLS configuration of its links. Both ends must present a certificate.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is invalid.
pub fn load(dir: &Path, vm: &str) -> Result<LinkTls, KeyError> {
    let ca_path = dir.join("ca.pem");
    let certificate_path = dir.join(format!("{vm}.pem"));
    let key_path = dir.join(format!("{vm}.key"));
    let authority = CertificateDer::from_pem_file(&ca_path).map_err(|error| invalid(&ca_path, &error))?;
    let certificate =
        CertificateDer::from_pem_file(&certificate_path).map_err(|error| invalid(&certificate_path, &error))?;
    let key = PrivateKeyDer::from_pem_file(&key_path).map_err(|error| invalid(&key_path, &error))?;
    let mut roots = RootCertStore::empty();
    roots.add(authority).map_err(|error| invalid(&ca_path, &error))?;
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());

    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| invalid(&ca_path, &error))?;
    let tls13 = &[&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(tls13)
        .map_err(|error| invalid(&key_path, &error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![certificate.clone()], key.clone_key())
        .map_err(|error| invalid(&certificate_path, &error))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(tls13)
        .map_err(|error| invalid(&key_path, &error))?
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate], key)
        .map_err(|error| invalid(&certificate_path, &error))?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let server = QuicServerConfig::try_from(server).map_err(|error| invalid(&key_path, &error))?;
    let client = QuicClientConfig::try_from(client).map_err(|error| invalid(&key_path, &error))?;
    Ok(link_tls(server, client))
}

fn link_tls(server: QuicServerConfig, client: QuicClientConfig) -> LinkTls {
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::new(transport(STREAMS_INITIAL)));
    let mut client = ClientConfig::new(Arc::new(client));
    // Only the node that opens a link sends requests on it.
    client.transport_config(Arc::new(transport(0)));
    LinkTls { server, client }
}

/// Generates a key for one incarnation of a node that has no keys folder, and returns the TLS configuration of its
/// links.
///
/// Links are encrypted, but any host that reaches the address of the node can open one. Such a node relies on its
/// platform to restrict access to the ports between nodes. The configuration doesn't depend on the time of day.
///
/// # Errors
///
/// Returns an error if the key or the configuration cannot be created.
pub fn generate(vm: &str) -> Result<LinkTls, KeyError> {
    let path = Path::new("(generated at start)");
    let fault = |error: &dyn std::fmt::Display| invalid(path, error);
    let key = KeyPair::generate().map_err(|error| fault(&error))?;
    let params = CertificateParams::new(vec![vm.to_owned()]).map_err(|error| fault(&error))?;
    let certificate = params.self_signed(&key).map_err(|error| fault(&error))?;
    let key = PrivateKeyDer::try_from(key.serialize_der()).map_err(|error| fault(&error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls13 = &[&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(tls13)
        .map_err(|error| fault(&error))?
        .with_no_client_auth()
        .with_single_cert(vec![certificate.der().clone()], key)
        .map_err(|error| fault(&error))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(tls13)
        .map_err(|error| fault(&error))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(SelfSigned { provider }))
        .with_no_client_auth();
    client.alpn_protocols = vec![ALPN.to_vec()];
    let server = QuicServerConfig::try_from(server).map_err(|error| fault(&error))?;
    let client = QuicClientConfig::try_from(client).map_err(|error| fault(&error))?;
    Ok(link_tls(server, client))
}

/// Accepts every certificate whose private key the peer holds.
#[derive(Debug)]
struct SelfSigned {
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for SelfSigned {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("links support TLS 1.3 only".into()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

/// Returns the transport parameters of the end of a link whose peer may have `streams` open.
fn transport(streams: u32) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MS))));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(streams));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    // Most links carry a few calls of some kilobytes. With MTU discovery, a link that is opened for one request costs
    // 15.6 kB instead of 4.3 kB in both directions together (on loopback).
    transport.mtu_discovery_config(None);
    transport.datagram_receive_buffer_size(Some(DATAGRAM_BYTES));
    transport
}
