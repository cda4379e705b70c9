//! Decoders of datagrams: they return errors and never panic, so that no datagram can stop a
//! daemon.
//!
//! The seed is fixed; `ZINNIADRIFT_DECODER_CASES` and `ZINNIADRIFT_SEED` set another number of
//! cases and another seed.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;

use bytes::Bytes;
use etherparse::PacketBuilder;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use zinniadrift_core::balancer::{BaseSet, PeerMessage};
use zinniadrift_core::flow::Pin;
use zinniadrift_core::membership::PublicationMark;
use zinniadrift_proto::v1::datagram::Body;
use zinniadrift_proto::v1::{Datagram, Heartbeat, PinGroup, Publish};
use zinniadrift_proto::{DatagramError, MAX_PEER_DATAGRAM_BYTES};
use zinniadrift_runtime::geneve::{Frame, MAX_DATAGRAM_BYTES};

const DEFAULT_CASES: u64 = 512;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Runs `check` on generated inputs; the panic message of a failure contains the seed.
fn run_cases<S: Strategy>(strategy: &S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let seed = env_number("ZINNIADRIFT_SEED", 1);
    let cases = env_number("ZINNIADRIFT_DECODER_CASES", DEFAULT_CASES);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: u32::try_from(cases).unwrap(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(e) = runner.run(strategy, check) {
        panic!("seed {seed}: {e}");
    }
}

fn tcp_packet(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([127, 9, 0, 1], [127, 20, 0, 1], 64).tcp(1_000, 443, 1, 1);
    let mut packet = Vec::new();
    builder.write(&mut packet, payload).unwrap();
    packet
}

fn publish(pins: usize) -> Datagram {
    let group = PinGroup {
        service: 1,
        target: 2,
        time: u64::MAX,
        caller_ips: vec![3; pins],
        caller_ports: vec![60_000; pins],
        time_offsets: Vec::new(),
    };
    let groups = vec![group];
    Datagram {
        group: "granite".into(),
        body: Some(Body::Publish(Publish { number: 7, groups })),
        ..Datagram::default()
    }
}

#[test]
fn random_frames_do_not_panic() {
    let input = prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES / 8);
    run_cases(&input, |bytes| {
        let _ = Frame::decode(&bytes.into());
        Ok(())
    });
}

/// Guards against panics in the bounds checks of Geneve options, which random bytes rarely reach.
#[test]
fn altered_frames_do_not_panic() {
    let input = (
        any::<bool>(),
        any::<Vec<u8>>(),
        any::<prop::sample::Index>(),
        any::<[u8; 3]>(),
    );
    run_cases(&input, |(relayed, payload, offset, change)| {
        let mut bytes = Frame::encode(&tcp_packet(&payload), relayed).to_vec();
        let offset = offset.index(bytes.len());
        for (i, value) in change.into_iter().enumerate() {
            if let Some(byte) = bytes.get_mut(offset + i) {
                *byte = value;
            }
        }
        let _ = Frame::decode(&bytes.into());
        Ok(())
    });
}

#[test]
fn truncated_frames_are_refused() {
    run_cases(&any::<(bool, Vec<u8>)>(), |(relayed, payload)| {
        let encoded = Frame::encode(&tcp_packet(&payload), relayed);
        prop_assert!(Frame::decode(&encoded).is_ok_and(|f| f.relayed == relayed));
        for len in 0..encoded.len() {
            prop_assert!(
                Frame::decode(&encoded.slice(..len)).is_err(),
                "length {}",
                len
            );
        }
        Ok(())
    });
}

#[test]
fn random_peer_datagrams_do_not_panic() {
    let input = prop::collection::vec(any::<u8>(), 0..2 * MAX_PEER_DATAGRAM_BYTES);
    run_cases(&input, |bytes| {
        if let Ok(datagram) = Datagram::decode_checked("granite", &bytes) {
            prop_assert!(bytes.len() <= MAX_PEER_DATAGRAM_BYTES);
            let _ = datagram.into_message();
        }
        Ok(())
    });
}

#[test]
fn truncated_peer_datagrams_do_not_panic() {
    let heartbeat = Heartbeat {
        name: "balancer-lowell".into(),
        zone: "lowell".into(),
        ..Heartbeat::default()
    };
    let datagrams = [
        publish(30),
        Datagram {
            body: Some(Body::Heartbeat(heartbeat)),
            ..publish(0)
        },
    ];
    for datagram in datagrams {
        let encoded = datagram.encode_checked().unwrap();
        assert_eq!(Datagram::decode_checked("granite", &encoded), Ok(datagram));
        for len in 0..encoded.len() {
            let truncated = Datagram::decode_checked("granite", &encoded[..len]);
            let _ = truncated.and_then(Datagram::into_message);
        }
    }
}

/// Guards against accepted datagrams that are too long, of another group or without a body.
#[test]
fn foreign_peer_datagrams_are_refused() {
    let decode_error = |bytes: &[u8]| Datagram::decode_checked("granite", bytes).unwrap_err();
    assert_eq!(publish(300).encode_checked(), Err(DatagramError::TooLong));
    assert_eq!(decode_error(&[0; 1_401]), DatagramError::TooLong);
    let other = Datagram {
        group: "verband".into(),
        ..publish(1)
    };
    assert_eq!(
        decode_error(&other.encode_checked().unwrap()),
        DatagramError::OtherGroup
    );
    let empty = Datagram {
        body: None,
        ..publish(1)
    };
    assert_eq!(
        decode_error(&empty.encode_checked().unwrap()),
        DatagramError::Malformed
    );
}

/// Guards against pin groups with lists of different lengths or ports out of range, which would
/// create wrong flow entries.
#[test]
fn inconsistent_pin_groups_are_refused() {
    let with_change = |change: &dyn Fn(&mut PinGroup)| {
        let mut datagram = publish(2);
        let Some(Body::Publish(p)) = &mut datagram.body else {
            unreachable!();
        };
        change(&mut p.groups[0]);
        datagram.into_message()
    };
    assert!(with_change(&|_| {}).is_ok());
    assert_eq!(
        with_change(&|g| g.caller_ports.truncate(1)),
        Err(DatagramError::Malformed)
    );
    assert_eq!(
        with_change(&|g| g.caller_ports[0] = 65_536),
        Err(DatagramError::Malformed)
    );
    assert_eq!(
        with_change(&|g| g.time_offsets.push(1)),
        Err(DatagramError::Malformed)
    );
}

/// Guards against conversions that lose or change a field between a member and its peer.
#[test]
fn messages_round_trip() {
    let pin = |target: u32, time: u64, port| Pin {
        service: 1.into(),
        target: target.into(),
        time: time.into(),
        caller: SocketAddrV4::new([10, 0, 0, 1].into(), port),
    };
    let pins = vec![pin(1, 5, 1), pin(1, 9, 2), pin(2, 9, 3)];
    let base = BaseSet {
        service: 1.into(),
        version: 3.into(),
        targets: vec![(1.into(), 100.into())],
        previous: vec![(2.into(), 50.into())],
    };
    let mark = PublicationMark {
        member: 1.into(),
        incarnation: 2.into(),
        number: 3,
    };
    let messages = [
        PeerMessage::Publish {
            number: 4,
            pins: pins.clone(),
        },
        PeerMessage::Handover {
            number: 5,
            pins: pins.clone(),
        },
        PeerMessage::HandoverAck { number: 5 },
        PeerMessage::SnapshotRequest { id: 1, index: 2 },
        PeerMessage::SnapshotPart {
            id: 1,
            index: 2,
            total: 3,
            publication: 4,
            pins,
            bases: vec![base],
            marks: vec![mark],
        },
        PeerMessage::Goodbye,
    ];
    for msg in messages {
        let datagram = Datagram {
            body: Some(msg.clone().into()),
            ..publish(0)
        };
        let bytes = datagram.encode_checked().unwrap();
        let read = Datagram::decode_checked("granite", &bytes).unwrap();
        assert_eq!(read.into_message(), Ok(msg));
    }
}

/// Guards against accepted packets with an unknown critical option; RFC 8926 requires that they are
/// dropped.
#[test]
fn unknown_critical_option_is_refused() {
    let mut bytes = vec![1, 0, 8, 0, 0, 0, 0, 0, 0x12, 0x34, 0x80, 0];
    bytes.extend(tcp_packet(b"ping"));
    assert!(Frame::decode(&Bytes::from(bytes.clone())).is_err());
    bytes[10] = 0;
    assert!(Frame::decode(&Bytes::from(bytes)).is_ok());
}
