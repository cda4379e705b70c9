//! Updates of claim shards and the rate limit of their writes.

use std::time::Duration;

use proptest::prelude::*;
use zinniadrift_core::claim::{
    ClaimChange, ClaimKey, ClaimOp, ClaimShard, ClaimToken, ClaimVerdict, ShardRules, StoredAnswer,
    WritePacer,
};
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::units::MonoTime;

const TAKE: ClaimChange = ClaimChange::Take {
    remaining: Duration::from_secs(1),
};

fn op(key: u128, token: u64, change: ClaimChange) -> ClaimOp {
    ClaimOp {
        key: ClaimKey::from(key),
        token: ClaimToken::from(token),
        gateway: MemberId::default(),
        change,
    }
}

fn any_change() -> impl Strategy<Value = ClaimChange> {
    prop_oneof![
        3 => Just(TAKE),
        1 => Just(ClaimChange::Release),
        1 => Just(ClaimChange::Complete {
            answer: StoredAnswer::new(200, &"ok".into()),
        }),
    ]
}

proptest! {
    /// Guards against a retry after a lost answer that changes the shard a second time: applying
    /// the same change again must leave the shard as it is.
    #[test]
    fn repeated_change_is_idempotent(
        ops in prop::collection::vec((0..3_u128, 0..4_u64, any_change()), 1..30),
    ) {
        let rules = ShardRules::default();
        let mut shard = ClaimShard::default();
        for (key, token, change) in ops {
            let op = op(key, token, change);
            shard.apply(&op, 0, &rules);
            let applied_once = shard.clone();
            shard.apply(&op, 0, &rules);
            prop_assert_eq!(&shard, &applied_once);
        }
    }

    /// Guards against two holders of one key: a key that is granted to one claim must be released
    /// by its holder before it is granted to another.
    #[test]
    fn key_has_one_holder(
        ops in prop::collection::vec((0..2_u128, 0..4_u64, any_change()), 1..40),
    ) {
        let rules = ShardRules::default();
        let mut shard = ClaimShard::default();
        let mut holder = [None; 2];
        for (key, token, change) in ops {
            let index = key as usize;
            let released = change == ClaimChange::Release && holder[index] == Some((token, false));
            let completed = matches!(change, ClaimChange::Complete { .. });
            let take = change == TAKE;
            let verdict = shard.apply(&op(key, token, change), u64::MAX / 2, &rules);
            if take && verdict == ClaimVerdict::Granted {
                prop_assert!(holder[index].is_none_or(|h| h == (token, false)));
                holder[index] = Some((token, false));
            } else if completed && holder[index] == Some((token, false)) {
                holder[index] = Some((token, true));
            } else if released {
                holder[index] = None;
            }
        }
    }
}

/// Guards against a full shard that evicts a claim within its retention time to make room.
#[test]
fn full_shard_refuses_claims_until_retention_ends() {
    let rules = ShardRules {
        capacity: 1,
        retention_s: 10,
        ..ShardRules::default()
    };
    let mut shard = ClaimShard::default();
    assert_eq!(
        shard.apply(&op(1, 1, TAKE), 0, &rules),
        ClaimVerdict::Granted
    );
    assert_eq!(shard.apply(&op(2, 2, TAKE), 9, &rules), ClaimVerdict::Full);
    assert_eq!(
        shard.apply(&op(2, 2, TAKE), 10, &rules),
        ClaimVerdict::Granted
    );
}

/// Guards against a changed JSON form of the shard, which gateways of another release could not
/// read.
#[test]
fn shard_json_form_is_stable() {
    let mut shard = ClaimShard::default();
    shard.apply(&op(1, 2, TAKE), 3, &ShardRules::default());
    let json = serde_json::to_string(&shard).unwrap();
    let expected = r#"{"claims":{"00000000000000000000000000000001":{"t":2,"g":0,"s":3}}}"#;
    assert_eq!(json, expected);
    assert_eq!(serde_json::from_str::<ClaimShard>(&json).unwrap(), shard);
}

/// Guards against a gateway that exceeds its share of the platform's write rate.
#[test]
fn pacer_limits_write_rate() {
    let mut pacer = WritePacer::new();
    let writes = (0..10_000)
        .filter(|ms| pacer.take(MonoTime::from_millis(*ms), 20.0).is_ok())
        .count();
    assert!((195..=202).contains(&writes), "{writes} writes in 10 s");
}
