//! The handshake accepts exactly the processes that hold the fleet secret: it refuses other
//! secrets, replayed and reflected messages, and malformed ones.

use bytes::Bytes;
use nutmegwheel_link::{
    handshake::{Acceptor, Dialler, HandshakeError, Identity},
    wire::{Challenge, Hello},
};
use proptest::prelude::*;
use prost::Message;

const SECRET: &[u8] = b"the secret of one fleet";
const OTHER: &[u8] = b"the secret of another fleet";

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        data_centre: "riga1".into(),
        incarnation: 3,
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

/// Runs a handshake between two secrets. Returns the dialler's identity as the acceptor decoded
/// it, or the error of the side that refuses.
fn run_handshake(dialler: &[u8], acceptor: &[u8]) -> Result<Identity, HandshakeError> {
    let (a, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (b, challenge) = Acceptor::challenge(acceptor, &identity("b"), [2; 32], &hello)?;
    let (peer, proof) = a.prove(dialler, challenge)?;
    assert_eq!(peer, identity("b"));
    b.finish(proof)
}

#[test]
fn exchanges_identities() {
    assert_eq!(run_handshake(SECRET, SECRET).unwrap(), identity("a"));
}

#[test]
fn refuses_different_secret() {
    assert!(matches!(
        run_handshake(OTHER, SECRET),
        Err(HandshakeError::Proof)
    ));
}

#[test]
fn refuses_dialler_without_secret() {
    let (_, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (b, _) = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello).unwrap();
    let (forger, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (_, challenge) = Acceptor::challenge(OTHER, &identity("b"), [2; 32], &hello).unwrap();
    let (_, proof) = forger.prove(OTHER, challenge).unwrap();
    assert!(matches!(b.finish(proof), Err(HandshakeError::Proof)));
}

#[test]
fn refuses_replayed_proof() {
    let (a, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (_, challenge) = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello).unwrap();
    let (_, recorded) = a.prove(SECRET, challenge).unwrap();
    let (b, _) = Acceptor::challenge(SECRET, &identity("b"), [3; 32], &hello).unwrap();
    assert!(matches!(b.finish(recorded), Err(HandshakeError::Proof)));
}

#[test]
fn refuses_replayed_challenge() {
    let (_, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (_, recorded) = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello).unwrap();
    let (a, _) = Dialler::start(&identity("a"), [4; 32]);
    assert!(matches!(
        a.prove(SECRET, recorded),
        Err(HandshakeError::Proof)
    ));
}

#[test]
fn refuses_reflected_proof() {
    let (_, hello) = Dialler::start(&identity("a"), [1; 32]);
    let (b, challenge) = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello).unwrap();
    let reflected = Challenge::decode(challenge).unwrap().proof;
    let proof = nutmegwheel_link::wire::Proof { proof: reflected };
    let refused = b.finish(proof.encode_to_vec().into());
    assert!(matches!(refused, Err(HandshakeError::Proof)));
}

#[test]
fn refuses_malformed_hellos() {
    let good = Hello::decode(Dialler::start(&identity("a"), [1; 32]).1).unwrap();
    let mut cases = vec![good.clone(); 5];
    cases[0].version = 99;
    cases[1].nonce = Bytes::from_static(b"short");
    cases[2].name = String::new();
    cases[3].data_centre = "a b".into();
    cases[4].address = "nowhere".into();
    for case in cases {
        let hello = case.encode_to_vec().into();
        let refused = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello);
        assert!(refused.is_err(), "{case:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn refuses_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let bytes = Bytes::from(bytes);
        let (a, hello) = Dialler::start(&identity("a"), [1; 32]);
        let (b, _) = Acceptor::challenge(SECRET, &identity("b"), [2; 32], &hello).unwrap();
        prop_assert!(Acceptor::challenge(SECRET, &identity("b"), [2; 32], &bytes).is_err());
        prop_assert!(a.prove(SECRET, bytes.clone()).is_err());
        prop_assert!(b.finish(bytes).is_err());
    }
}
