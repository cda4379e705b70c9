//! Checks that a cookie identifies its target and no other.

use proptest::prelude::*;
use std::collections::HashMap;

use zinniadrift_core::steering::{Cookie, DropReason, ResetReason, SegmentKind, Verdict};

use super::world::{
    CERTIFICATE, STREAM, World, address, cookie_of, flow, forwarded, packet, remote_target,
    reset_reason, target,
};

/// Guards against flows that break when another balancer receives their packets.
#[test]
fn any_balancer_finds_target_of_open_flow() {
    let targets: Vec<_> = (1..=14).map(target).collect();
    let mut first = World::new(1, targets.clone());
    let mut second = World::new(2, targets);
    for port in 1_000..1_200 {
        let (to, cookie) = first.establish(port, STREAM);
        assert_eq!(
            forwarded(second.send(port, STREAM, cookie)),
            to,
            "port {port}"
        );
    }
}

/// Guards against accepting a cookie that was copied to a flow of another service address.
#[test]
fn cookie_of_another_address_is_unknown() {
    let mut w = World::new(1, (1..=14).map(target).collect());
    let (_, cookie) = w.establish(1_000, STREAM);
    let verdict = w.send(1_001, CERTIFICATE, cookie);
    assert_eq!(verdict, Verdict::Drop(DropReason::DirectoryStale));
}

/// Guards against forwarding packets of open flows that carry no cookie.
#[test]
fn open_flow_without_cookie_is_dropped() {
    let mut w = World::new(1, vec![target(1)]);
    let verdict = w.send(1_000, STREAM, Cookie::NONE);
    assert_eq!(verdict, Verdict::Drop(DropReason::NoCookie));
}

/// Guards against responding with a reset to a caller's own reset, which already ends the flow.
#[test]
fn reset_of_unknown_flow_gets_no_reset() {
    let mut w = World::new(1, vec![target(1)]);
    w.advance(10_000);
    for cookie in [Cookie::NONE, Cookie::from(0x1234_5678)] {
        let seg = packet(flow(1_000, STREAM), SegmentKind::Reset, cookie);
        let verdict = w.core.on_segment(w.now, &seg);
        assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
        w.advance(3_000);
        let again = w.core.on_segment(w.now, &seg);
        assert!(matches!(again, Verdict::Drop(_)), "{again:?}");
    }
}

/// Guards against resets of flows whose target registered after this balancer's last update.
#[test]
fn unknown_cookie_is_not_reset_while_directory_is_stale() {
    let mut w = World::new(1, vec![target(1)]);
    let mut other = World::new(2, vec![target(2)]);
    let (_, cookie) = other.establish(1_000, STREAM);
    assert!(matches!(w.send(1_000, STREAM, cookie), Verdict::Drop(_)));
    // The store does not respond, so the directory is not updated.
    w.advance_without_store(4_000);
    assert!(matches!(w.send(1_000, STREAM, cookie), Verdict::Drop(_)));
    // The balancer learns of the new target.
    w.put(target(2));
    assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), target(2).address);
}

/// Guards against flows that hang until the caller's deadline although no target has their cookie.
#[test]
fn unknown_cookie_is_reset_after_confirmation() {
    let mut w = World::new(1, vec![target(1)]);
    let forged = Cookie::from(0x8123_4567);
    assert!(matches!(w.send(1_000, STREAM, forged), Verdict::Drop(_)));
    w.advance(3_000);
    let verdict = w.send(1_000, STREAM, forged);
    assert_eq!(reset_reason(verdict), Some(ResetReason::UnknownCookie));
}

/// Guards against resets of flows to a target that started again under its name, by a balancer that
/// does not know of the start yet and remembers packets of flows to the former run (the form of
/// review/3).
#[test]
fn flow_of_restarted_target_is_not_reset() {
    let mut w = World::new(1, vec![target(1)]);
    let mut other = World::new(2, vec![target(2)]);
    let (_, former) = other.establish(1_000, STREAM);
    assert!(matches!(w.send(1_000, STREAM, former), Verdict::Drop(_)));
    w.advance(3_000);
    let verdict = w.send(1_000, STREAM, former);
    assert_eq!(reset_reason(verdict), Some(ResetReason::UnknownCookie));
    // The target starts again; a flow that the other balancer opened moves to this one.
    let (to, cookie) = other.establish(2_000, STREAM);
    for _ in 0..20 {
        w.advance_without_store(100);
        let verdict = w.send(2_000, STREAM, cookie);
        assert_eq!(verdict, Verdict::Drop(DropReason::DirectoryStale));
    }
    w.put(target(2));
    assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
}

/// Guards against placing flows on both of two targets whose tags collide.
#[test]
fn second_target_with_same_tag_gets_no_flow() {
    // Finds two target names whose cookies are equal; about 55,000 names are enough for 31 bits.
    let probe = |n: u32| {
        let mut w = World::new(1, Vec::new());
        let mut instance = target(1);
        instance.name = format!("i-{n:08x}").into();
        w.put(instance.clone());
        (cookie_of(w.open(1_000, STREAM, 0)), instance)
    };
    let mut seen = HashMap::new();
    let pair = (0..400_000).find_map(|n| {
        let (cookie, instance) = probe(n);
        seen.insert(u32::from(cookie), instance.clone())
            .map(|earlier| (earlier, instance))
    });
    let (first, mut second) = pair.expect("a pair of equal cookies");
    second.address = address("10.128.0.2:8080");
    let mut w = World::new(1, vec![first.clone()]);
    w.put(second);
    for port in 1_000..1_050 {
        assert_eq!(w.establish(port, STREAM).0, first.address);
    }
}

/// Guards against losing open flows when the entry of their target changes.
#[test]
fn draining_target_keeps_its_flows() {
    let mut w = World::new(1, vec![target(1), remote_target(2)]);
    let (to, cookie) = w.establish(1_000, STREAM);
    let mut instance = if to == target(1).address {
        target(1)
    } else {
        remote_target(2)
    };
    instance.state = zinniadrift_core::steering::InstanceState::Draining;
    w.put(instance);
    assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
}

proptest! {
    /// Guards against a cookie equal to `Cookie::NONE`, and one that depends on the balancer.
    #[test]
    fn cookies_are_never_zero_and_equal_on_all_balancers(n in 1_u8..250, seed in 0_u64..1_000) {
        let mut a = World::new(seed, vec![target(n)]);
        let mut b = World::new(seed + 1, vec![target(n)]);
        for at in [STREAM, CERTIFICATE] {
            let cookie = cookie_of(a.open(1_000, at, 0));
            prop_assert_ne!(cookie, Cookie::NONE);
            prop_assert_eq!(cookie, cookie_of(b.open(2_000, at, 0)));
        }
    }

    /// Guards against forwarding packets with forged cookies.
    #[test]
    fn forged_cookies_are_not_forwarded(cookie in any::<u32>()) {
        let mut w = World::new(1, (1..=18).map(target).collect());
        let known: Vec<Cookie> = (0..400).map(|i| cookie_of(w.open(i, STREAM, 0))).collect();
        prop_assume!(!known.contains(&Cookie::from(cookie)));
        let forwarded = matches!(
            w.send(5_000, STREAM, Cookie::from(cookie)),
            Verdict::Forward { .. }
        );
        prop_assert!(!forwarded);
    }
}
