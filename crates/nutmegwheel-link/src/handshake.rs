//! Mutual authentication by the fleet secret at the start of a link, without I/O.
//!
//! 1. The dialler sends a `Hello` with a new nonce.
//! 2. The acceptor answers with its own `Hello` and an HMAC over both hellos.
//! 3. The dialler verifies that HMAC and sends its own over both hellos.
//! 4. The acceptor verifies that HMAC and sends an empty frame. Then the dialler may use the link.
//!
//! Each HMAC starts with the role of its sender, which prevents reflection attacks, and covers both
//! nonces, which prevents replay attacks.

use std::net::SocketAddr;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain};
use prost::Message;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::wire::{Challenge, Hello, Proof};

/// The version of the link protocol; both sides must use the same one.
pub const PROTOCOL_VERSION: u32 = 1;
/// The maximum length of a handshake message.
pub const MAX_HANDSHAKE_MESSAGE_BYTES: usize = 1024;
/// The length of a nonce.
pub const NONCE_BYTES: usize = 32;
/// The maximum length of the name of a process or data centre.
const MAX_NAME_BYTES: usize = 128;

/// Random bytes that are unique to a handshake and prevent its replay.
pub type Nonce = [u8; NONCE_BYTES];

plain! {
    /// The identity that a process presents in its hello.
    pub struct Identity {
        /// The name of the process.
        pub name: ProcessName,
        /// The data centre that the process runs in.
        pub data_centre: DataCentreId,
        /// The incarnation of the process, which differs after every restart.
        pub incarnation: Incarnation,
        /// The address on which the process accepts links.
        pub address: SocketAddr,
    }
}

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The bytes are not the expected message.
    #[error("decode: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer uses another version of the protocol.
    #[error("protocol version {theirs}, this process speaks {PROTOCOL_VERSION}")]
    Version {
        /// The protocol version of the peer.
        theirs: u32,
    },
    /// A field is malformed or out of range.
    #[error("field {0}")]
    Field(&'static str),
    /// The peer does not hold the fleet secret.
    #[error("the proof of the fleet secret is wrong")]
    Proof,
}

/// The dialler's state while it waits for the acceptor's challenge.
pub struct Dialler {
    hello: Bytes,
}

impl Dialler {
    /// Starts a handshake, and returns the hello to send.
    #[must_use]
    pub fn start(me: &Identity, nonce: Nonce) -> (Self, Bytes) {
        let hello = encode_hello(me, nonce);
        (
            Self {
                hello: hello.clone(),
            },
            hello,
        )
    }

    /// Checks the acceptor's challenge, and returns the acceptor's identity and the proof to send.
    ///
    /// # Errors
    ///
    /// Fails when the challenge is malformed or of another version, or when the acceptor does not
    /// hold the secret.
    pub fn prove(
        self,
        secret: &[u8],
        challenge: Bytes,
    ) -> Result<(Identity, Bytes), HandshakeError> {
        let challenge = Challenge::decode(challenge)?;
        let acceptor = decode_hello(challenge.hello.clone())?;
        let expected = proof(secret, Role::Acceptor, &self.hello, &challenge.hello);
        check(&expected, &challenge.proof)?;
        let mine = proof(secret, Role::Dialler, &self.hello, &challenge.hello);
        Ok((acceptor, encode_proof(mine)))
    }
}

/// The acceptor's state while it waits for the dialler's proof.
pub struct Acceptor {
    dialler: Identity,
    expected: [u8; 32],
}

impl Acceptor {
    /// Answers the dialler's hello, and returns the challenge to send.
    ///
    /// # Errors
    ///
    /// Fails when the hello is malformed or of another version.
    pub fn challenge(
        secret: &[u8],
        me: &Identity,
        nonce: Nonce,
        hello: &Bytes,
    ) -> Result<(Self, Bytes), HandshakeError> {
        let dialler = decode_hello(hello.clone())?;
        let mine = encode_hello(me, nonce);
        let challenge = Challenge {
            proof: Bytes::copy_from_slice(&proof(secret, Role::Acceptor, hello, &mine)),
            hello: mine.clone(),
        };
        let expected = proof(secret, Role::Dialler, hello, &mine);
        let acceptor = Self { dialler, expected };
        Ok((acceptor, challenge.encode_to_vec().into()))
    }

    /// Checks the dialler's proof, and returns the dialler's identity.
    ///
    /// # Errors
    ///
    /// Fails when the proof is malformed, or when the dialler does not hold the secret.
    pub fn finish(self, proof: Bytes) -> Result<Identity, HandshakeError> {
        check(&self.expected, &Proof::decode(proof)?.proof)?;
        Ok(self.dialler)
    }
}

/// The side that computes an HMAC.
#[derive(Clone, Copy)]
enum Role {
    Dialler,
    Acceptor,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialler => b"nutmegwheel-link dialler",
            Self::Acceptor => b"nutmegwheel-link acceptor",
        }
    }
}

fn proof(secret: &[u8], role: Role, dialler: &[u8], acceptor: &[u8]) -> [u8; 32] {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes any key length");
    for part in [role.label(), dialler, acceptor] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

fn check(expected: &[u8; 32], actual: &[u8]) -> Result<(), HandshakeError> {
    if bool::from(expected.as_slice().ct_eq(actual)) {
        Ok(())
    } else {
        Err(HandshakeError::Proof)
    }
}

fn encode_proof(proof: [u8; 32]) -> Bytes {
    let proof = Bytes::copy_from_slice(&proof);
    Proof { proof }.encode_to_vec().into()
}

fn encode_hello(me: &Identity, nonce: Nonce) -> Bytes {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        nonce: Bytes::copy_from_slice(&nonce),
        name: me.name.to_string(),
        data_centre: me.data_centre.to_string(),
        incarnation: me.incarnation,
        address: me.address.to_string(),
    };
    hello.encode_to_vec().into()
}

fn decode_hello(bytes: Bytes) -> Result<Identity, HandshakeError> {
    let hello = Hello::decode(bytes)?;
    if hello.version != PROTOCOL_VERSION {
        return Err(HandshakeError::Version {
            theirs: hello.version,
        });
    }
    if hello.nonce.len() != NONCE_BYTES {
        return Err(HandshakeError::Field("nonce"));
    }
    Ok(Identity {
        name: decode_name(&hello.name, "name")?.into(),
        data_centre: decode_name(&hello.data_centre, "data_centre")?.into(),
        incarnation: hello.incarnation,
        address: hello
            .address
            .parse()
            .map_err(|_| HandshakeError::Field("address"))?,
    })
}

fn decode_name<'a>(name: &'a str, field: &'static str) -> Result<&'a str, HandshakeError> {
    let plain = |c: char| c.is_ascii_graphic();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
        return Err(HandshakeError::Field(field));
    }
    Ok(name)
}
